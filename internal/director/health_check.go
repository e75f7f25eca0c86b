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

// Health checks: those that routing orders, those that a director makes for other directors, and what it learns from theirs.
// Each check has a connection of its own, as connections that carry requests may be stuck.

// Machine is a cache or parent that the endpoint list names as ready.
type Machine struct {
	ID          uint32
	StartedUnix int64 // Unix milliseconds of its start, as listed; 0: long ago
	Parent      bool  // it is a parent, not a cache
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

// CheckMachine asks a machine whether it runs. Each step may take the time within. If class is an idempotent class, a cache
// is also asked for the object, but only if it has it cached, so that nothing is filled. asked is false if no socket can be
// spared, a fault of this host prevents the check, or no such machine is listed as ready.
func (d *Director) CheckMachine(machine Machine, within time.Duration, class, object string) (alive, asked bool) {
	addr, ok := d.pool.takeSocketFor(machine)
	if !ok {
		return false, false
	}
	defer d.pool.returnSocket()
	var small *resp.Request
	if !machine.Parent && d.isIdempotent(class) {
		small = &resp.Request{
			ID:      "probe" + strconv.FormatInt(d.clock.now().Nanoseconds(), 36),
			Class:   class,
			Object:  object,
			Part:    "0",
			Timeout: within,
			Order:   routing.AttemptOrder{OnlyIfCached: true},
		}
	}
	result, verdict := d.pool.ping(addr, within, small)
	return verdict && result == routing.Served, verdict
}

// isIdempotent returns whether the configuration has a class of that name whose requests are idempotent.
func (d *Director) isIdempotent(class string) bool {
	index, ok := d.classes[class]
	return ok && d.config.Settings.Classes[index].Effect == routing.Idempotent
}

// HandlePeerHealth reports to routing what another director saw of a machine. startedUnix is the machine's start as that director
// knows it, and age how long ago it saw the machine.
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

// checkHealth pings a node in a goroutine and reports the result: Served, ConnectFailed or TimedOut. It reports nothing if no
// socket can be spared or a fault of this host prevents the check.
func (p *connectionPool) checkHealth(id uint32, report func(routing.Result)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, ok := p.takeSpareSocket(p.byID[id])
	if !ok {
		return
	}
	go func() {
		result, verdict := p.ping(addr, p.config.DialTimeout, nil)
		p.returnSocket()
		if verdict {
			report(result)
		}
	}()
}

// pingID is the id of a PING in a health check.
const pingID = "probe"

var errOtherAnswer = errors.New("an answer to something else")

// ping asks a node whether it runs. If small is given, it then sends that request, to which any answer will do. The dial, the
// PING and the request may each take the time within. The result is Served, ConnectFailed or TimedOut. verdict is false if a
// fault of this host prevented the check.
func (p *connectionPool) ping(addr string, within time.Duration, small *resp.Request) (result routing.Result, verdict bool) {
	socket, err := dialWithRetries(context.Background(), p.network, addr, within, within)
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
	switch err := exchangePing(socket, within, small); {
	case err == nil:
		return routing.Served, true
	case isLocalFault(err):
		return 0, false
	}
	return routing.TimedOut, true
}

// exchangePing sends a PING and reads its answer, then does the same with small if it is given.
func exchangePing(socket net.Conn, within time.Duration, small *resp.Request) error {
	answers := bufio.NewReader(uninterrupted{socket})
	exchange := func(message []byte, id string) (response resp.Response, err error) {
		socket.SetDeadline(time.Now().Add(within))
		if _, err = writeAll(socket, message); err != nil {
			return response, err
		}
		response, err = resp.ReadResponse(answers)
		if err == nil && response.ID != id {
			err = errOtherAnswer
		}
		return response, err
	}
	response, err := exchange(resp.AppendHealthCheck(nil, pingID), pingID)
	if err == nil && response.Status != resp.Pong {
		err = errOtherAnswer
	}
	if err == nil && small != nil {
		_, err = exchange(resp.AppendRequest(nil, small), small.ID)
	}
	return err
}
