package cluster

// Runs of call jobs and of event jobs.

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/peer"
)

// Topics of the requests of a call job. They are sent on the wire and must not change.
const (
	callBegin = "begin"
	callEnd   = "end"
)

// callFields is the number of fields of a request of a call job: job, instance, fencing token and run.
const callFields = 4

// runCall performs one run of a call job: it sends a request to an address when the run begins and another when it ends, each within
// the job's timeout. Both carry the fencing token, so that the receiver can reject requests with an older token. The error is
// errLeaseLost, an error of peer.Query, or the reason why the run was canceled.
func (m *Member) runCall(ctx context.Context, r *run, duty clusterconfig.Duty) error {
	for _, topic := range []string{callBegin, callEnd} {
		fence, err := m.mayAct(r)
		if err != nil {
			return err
		}
		request := appendCall(nil, duty.Name, m.name, fence, r.order.Run)
		if _, err := peer.Query(duty.Address, topic, request, duty.Timeout.Duration()); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	return nil
}

// appendCall appends the request of a call job.
func appendCall(b []byte, duty, instance string, fence, run uint64) []byte {
	b = msgpack.AppendList(b, callFields)
	b = msgpack.AppendText(b, duty)
	b = msgpack.AppendText(b, instance)
	b = msgpack.AppendUint(b, fence)
	return msgpack.AppendUint(b, run)
}

// publishTestEvent performs one run of an event job, which is for tests. It publishes an event of the configured size whose payload
// begins with three numbers of eight bytes: the time of publishing in Unix nanoseconds, the run and the fencing token. The error
// is errLeaseLost or an error of publish.
func (m *Member) publishTestEvent(r *run, duty clusterconfig.Duty) error {
	fence, err := m.mayAct(r)
	if err != nil {
		return err
	}
	payload := make([]byte, duty.Bytes)
	binary.BigEndian.PutUint64(payload, uint64(time.Now().UnixNano()))
	binary.BigEndian.PutUint64(payload[8:], r.order.Run)
	binary.BigEndian.PutUint64(payload[16:], fence)
	key := keyEvent + duty.Name
	if duty.Keep == clusterconfig.KeepLast {
		return m.publish(key, fence, duty.Lifetime.Duration(), payload)
	}
	return m.publish(fmt.Sprintf("%s/%d/%d", key, fence, r.order.Run), 0, duty.Lifetime.Duration(), payload)
}
