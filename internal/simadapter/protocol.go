package simadapter

import (
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// A frame of the simulator consists of these fields, all little-endian:
//
//	uint32 number of the frame, which the reply repeats
//	uint32 number of bytes that follow
//	uint64 clock of the simulator, in microseconds
//	event records, each an event code and its fields
//
// A reply consists of the first two of these fields, followed by action records.
const (
	numberBytes = 4
	lengthBytes = 4
	clockBytes  = 8
	headerBytes = numberBytes + lengthBytes + clockBytes
)

// maxFrameBytes bounds the number of bytes that follow the length of a frame. It limits the memory that a malformed length can make the
// adapter allocate.
const maxFrameBytes = 1 << 30

// Codes of event records.
const (
	eventCreate eventCode = iota
	eventAnnounce
	eventIncoming
	eventOpened
	eventFinished
	eventVanished
	eventWakeup
	eventProbeDone
	eventPeer
	eventCrashNow
	eventOutdated
	eventAt // selects the instance for the following records
)

// eventCode is the first byte of an event record.
type eventCode uint8

// eventNames contains the names that the simulator uses for events. They appear in errors.
var eventNames = [...]string{
	eventCreate:    "create",
	eventAnnounce:  "announce",
	eventIncoming:  "incoming",
	eventOpened:    "opened",
	eventFinished:  "finished",
	eventVanished:  "vanished",
	eventWakeup:    "wakeup",
	eventProbeDone: "probe_done",
	eventPeer:      "peer",
	eventCrashNow:  "crash_now",
	eventOutdated:  "outdated",
	eventAt:        "at",
}

// actionCode is the first byte of an action record.
type actionCode uint8

// Codes of action records.
const (
	actionOverloadReply actionCode = 1
	actionRespondError  actionCode = 2
	actionStopAttempt   actionCode = 3
	actionAfter         actionCode = 4
	actionSoundOut      actionCode = 5
	actionFetchThrough  actionCode = 12
	actionInstance      actionCode = 13 // selects the instance for the following actions
)

// Bits of the options of a fetch_through action.
const (
	optionCoalesce     uint8 = 1
	optionOnlyIfCached uint8 = 2
	optionRevalidate   uint8 = 8
)

// Scopes of an announcement. The endpoints of an announcement replace the whole endpoint list, except for these two scopes.
const (
	scopeChanges uint8 = 2 // the announcement contains only the changed endpoints
	scopeIgnored uint8 = 4 // the endpoints are not used for decisions
	maxScope           = scopeIgnored
)

// endpointBytes is the length of one endpoint in an announcement.
const endpointBytes = 22

// unknownResult is the value that resultOf returns for an unknown status. It is unambiguous, because no status of the protocol means
// routing.LocalError. A health check with this result gives no information about the endpoint; an attempt with it is a malformed record.
const unknownResult = routing.LocalError

// resultOf converts the simulator's status of an attempt or a health check to a result.
func resultOf(status uint16) routing.Result {
	switch status {
	case 200:
		return routing.Served
	case 404:
		return routing.NotCached
	case 410:
		return routing.Obsolete
	case 499:
		return routing.Cancelled
	case 500:
		return routing.Failed
	case 502:
		return routing.ConnectFailed
	case 503:
		return routing.Rejected
	case 504:
		return routing.TimedOut
	case 598:
		return routing.Reset
	}
	return unknownResult
}

// fillOf converts the simulator's cache status, which uses the same numbers as routing.Fill. An unknown status becomes routing.FillUnknown.
func fillOf(note uint32) routing.Fill {
	if note > uint32(routing.OriginFailed) {
		return routing.FillUnknown
	}
	return routing.Fill(note)
}

// fromMicroseconds converts a duration of the protocol, which is in microseconds.
func fromMicroseconds(microseconds uint32) time.Duration {
	return time.Duration(microseconds) * time.Microsecond
}
