package director

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"indigochute.example/indigochute/internal/resp"
	"indigochute.example/indigochute/internal/routing"
)

// This file has the ways in which connections and attempts end, and the results that are reported to routing.

// Ending is the way in which a connection or an attempt ended.
type Ending uint8

// The first six are endings of connections, the others of attempts. An attempt may also have the ending of its connection.
const (
	Closed              Ending = iota // the other side closed the connection between messages
	Stopped                           // the director closed the connection, with nothing open on it
	Broken                            // the connection broke, or was closed within a message
	Unreadable                        // the bytes received cannot be read; the connection is no longer trusted
	Stalled                           // for too long, the other side read no bytes or did not complete a message
	ConnectFailed                     // the dial was refused or timed out, or the node was unreachable
	OrderExpired                      // it was not written in time, or the connection ended before it was written
	NotSent                           // its request ended before any of it was written
	NoSocket                          // no socket was available to send it
	NoMemory                          // it was answered, but the body would have exceeded the bound on bodies
	PartlySent                        // the connection ended before the request was completely written
	AnswerLost                        // the connection ended after the request was completely written
	Cancelled                         // cancelled by the director
	Expired                           // the client's timeout passed
	AnsweredHit                       // a success with a body
	AnsweredNotModified               // a success: the client's own copy is valid
	AnsweredNotCached                 // the node does not have the object, and the request did not allow a fill
	AnsweredRejected                  // the node rejected the request
	AnsweredFault                     // the node answered with an error
	AnsweredLate                      // the node received it after its request had finished
	LocalFault                        // a fault of this host made a system call fail before anything was written
)

// endings holds the names of the endings in the log.
var endings = [...]string{
	Closed:              "closed",
	Stopped:             "stopped",
	Broken:              "cut",
	Unreadable:          "unreadable",
	Stalled:             "stalled",
	ConnectFailed:       "never connected",
	OrderExpired:        "stale",
	NotSent:             "never sent",
	NoSocket:            "no room",
	NoMemory:            "no memory",
	PartlySent:          "sent in part",
	AnswerLost:          "lost",
	Cancelled:           "withdrawn",
	Expired:             "expired",
	AnsweredHit:         "hit",
	AnsweredNotModified: "same",
	AnsweredNotCached:   "none",
	AnsweredRejected:    "full",
	AnsweredFault:       "fault",
	AnsweredLate:        "late",
	LocalFault:          "local fault",
}

// String returns the name of the ending in the log.
func (e Ending) String() string { return endings[e] }

// result returns the result of an attempt with this ending in the form that routing uses. After ConnectFailed, NotSent,
// Rejected, NotCached, Obsolete and LocalError, routing may retry even a request that must not be executed twice. So only
// endings that prove that the request was never executed may have one of these results.
func (e Ending) result() routing.Result {
	switch e {
	case AnsweredHit, AnsweredNotModified:
		return routing.Served
	case AnsweredNotCached:
		return routing.NotCached
	case AnsweredRejected, NoSocket:
		return routing.Rejected
	case AnsweredFault:
		return routing.Failed
	case AnsweredLate, NotSent:
		return routing.Obsolete
	case ConnectFailed:
		return routing.ConnectFailed
	case LocalFault:
		return routing.LocalError
	case OrderExpired, PartlySent:
		return routing.NotSent
	case Expired:
		return routing.TimedOut
	case Cancelled, NoMemory: // the node is not at fault
		return routing.Cancelled
	}
	return routing.Reset // it may have been executed
}

// endingOfStatus returns the ending of an attempt that a node answered with the status.
func endingOfStatus(status resp.Status) Ending {
	switch status {
	case resp.Hit:
		return AnsweredHit
	case resp.NotModified:
		return AnsweredNotModified
	case resp.Miss:
		return AnsweredNotCached
	case resp.Rejected:
		return AnsweredRejected
	case resp.AlreadyFinished:
		return AnsweredLate
	}
	return AnsweredFault
}

// endingOf returns the ending of a connection on which a read or a write failed with the error.
func endingOf(err error) Ending {
	var networkError net.Error
	switch {
	case err == io.EOF:
		return Closed
	case errors.Is(err, net.ErrClosed):
		return Stopped
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Stalled
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &networkError):
		return Broken
	}
	return Unreadable
}

// endingOfDial returns the ending of a connection whose dial failed with the error. Only some errors show that the node does
// not run: a healthy node occasionally resets new connections, and a fault of this host says nothing about the node.
func endingOfDial(err error) Ending {
	var networkError net.Error
	switch {
	case isLocalFault(err): // checked first, since EAGAIN also reports itself as a timeout
		return LocalFault
	case errors.As(err, &networkError) && networkError.Timeout():
		return ConnectFailed
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.EHOSTUNREACH):
		return ConnectFailed
	}
	return Broken
}
