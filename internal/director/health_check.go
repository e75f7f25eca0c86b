package director

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"indigochute.example/indigochute/internal/resp"
	"indigochute.example/indigochute/internal/routing"
)

// This file has the health checks that routing orders, those that are made for other directors, and the results received from
// other directors. Each check uses a new connection, since connections that carry requests may be stuck.

// Machine is a cache or parent that the endpoint list has as ready.
type Machine struct {
	ID          uint32
	StartedUnix int64 // Unix milliseconds of its start, as listed; 0: long ago
	Parent      bool  // whether it is a parent rather than a cache
}

// Machines returns the caches and parents that are ready, ordered by id.
func (d *Director) Machines() (ready []Machine) {
	d.pool.mu.Lock()
	defer d.pool.mu.Unlock()
	settings := &d.config.Settings
	for id, known := range d.pool.byID {
		if known.ready && known.kind != settings.OriginKind {
			ready = append(ready, Machine{ID: id, StartedUnix: known.startedUnix, Parent: known.kind == settings.ParentKind})
		}
	}
	slices.SortFunc(ready, func(a, b Machine) int { return cmp.Compare(a.ID, b.ID) })
	return ready
}

// CheckMachine checks whether a machine runs. Each step of the check may take the timeout. If class is an idempotent class and
// the machine is a cache, the check also requests the object, with the option that it must be cached, so that no fill is
// caused. checked is false if no socket can be spared, a fault of this host prevents the check, or the machine is not listed as
// ready with the same start.
func (d *Director) CheckMachine(machine Machine, timeout time.Duration, class, object string) (alive, checked bool) {
	addr, ok := d.pool.takeSocketFor(machine)
	if !ok {
		return false, false
	}
	defer d.pool.returnSocket()
	var request *resp.Request
	if !machine.Parent && d.isIdempotent(class) {
		request = &resp.Request{
			ID:      "probe" + strconv.FormatInt(d.clock.now().Nanoseconds(), 36),
			Class:   class,
			Object:  object,
			Part:    "0",
			Timeout: timeout,
			Order:   routing.AttemptOrder{OnlyIfCached: true},
		}
	}
	result, conclusive := d.pool.ping(addr, timeout, request)
	return conclusive && result == routing.Served, conclusive
}

// isIdempotent returns whether the configuration has a class of that name whose requests are idempotent.
func (d *Director) isIdempotent(class string) bool {
	index, ok := d.classes[class]
	return ok && d.config.Settings.Classes[index].Effect == routing.Idempotent
}

// HandlePeerHealth passes another director's check of a machine on to routing. startedUnix is the machine's start as listed at that
// director, and age is the time since its check.
func (d *Director) HandlePeerHealth(id uint32, startedUnix int64, alive bool, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.recoverDefect("told")
	now, startedAt := d.clock.now(), time.Duration(0)
	if startedUnix != 0 {
		startedAt = d.journal.startOf(now, id, startedUnix)
	}
	d.router.HandlePeerHealth(now, id, startedAt, alive, now-age)
}

// takeSocketFor takes a socket for a check of a machine, if the machine is still listed as ready with the same start.
func (p *connectionPool) takeSocketFor(machine Machine) (addr string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byID[machine.ID]
	if known == nil || !known.ready || known.startedUnix != machine.StartedUnix {
		return "", false
	}
	return p.takeSpareSocket(known)
}

// checkHealth pings a node in a goroutine and reports the result: Served, ConnectFailed or TimedOut. It reports nothing if the
// node is not listed, no socket can be spared or a fault of this host prevents the check.
func (p *connectionPool) checkHealth(id uint32, report func(routing.Result)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, ok := p.takeSpareSocket(p.byID[id])
	if !ok {
		return
	}
	go func() {
		result, conclusive := p.ping(addr, p.config.DialTimeout, nil)
		p.returnSocket()
		if conclusive {
			report(result)
		}
	}()
}

// pingID is the id of a PING in a health check.
const pingID = "probe"

var errUnexpectedAnswer = errors.New("the answer does not belong to the health check")

// ping checks whether a node runs. It sends a PING and then, unless request is nil, that request, for which any answer counts as
// a success. The dial, the PING and the request may each take the timeout. The result is Served, ConnectFailed or TimedOut.
// conclusive is false if a fault of this host prevented the check.
func (p *connectionPool) ping(addr string, timeout time.Duration, request *resp.Request) (result routing.Result, conclusive bool) {
	socket, err := dialWithRetries(context.Background(), p.network, addr, timeout, timeout)
	switch {
	case err == nil:
	case endingOfDial(err) == LocalFault:
		return 0, false
	case endingOfDial(err) == ConnectFailed:
		return routing.ConnectFailed, true
	default:
		return routing.TimedOut, true
	}
	defer socket.Close()
	switch err := exchangePing(socket, timeout, request); {
	case err == nil:
		return routing.Served, true
	case isLocalFault(err):
		return 0, false
	}
	return routing.TimedOut, true
}

// exchangePing sends a PING and reads its answer, then does the same with the request unless it is nil.
func exchangePing(socket net.Conn, timeout time.Duration, request *resp.Request) error {
	answers := bufio.NewReader(uninterrupted{socket})
	exchange := func(message []byte, id string) (response resp.Response, err error) {
		socket.SetDeadline(time.Now().Add(timeout))
		if _, err = writeAll(socket, message); err != nil {
			return response, err
		}
		response, err = resp.ReadResponse(answers, resp.DropBodies)
		if err == nil && response.ID != id {
			err = errUnexpectedAnswer
		}
		return response, err
	}
	response, err := exchange(resp.AppendHealthCheck(nil, pingID), pingID)
	if err == nil && response.Status != resp.Pong {
		err = errUnexpectedAnswer
	}
	if err == nil && request != nil {
		_, err = exchange(resp.AppendRequest(nil, request), request.ID)
	}
	return err
}
