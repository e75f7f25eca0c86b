package emulator

// This file advances the simulated machines by the real clock.

import (
	"context"
	"time"

	"indigochute.example/indigochute/internal/simulation"
)

// idleWait is how long runWorld sleeps while the world has no event due. A change of the world ends the sleep early.
const idleWait = time.Hour

// now returns the present time of the world.
func (f *Fleet) now() time.Duration { return time.Since(f.start) }

// unixMilli converts a time of the world to Unix milliseconds.
func (f *Fleet) unixMilli(at time.Duration) int64 { return f.start.Add(at).UnixMilli() }

// runWorld advances the world whenever its next event is due, until ctx ends.
func (f *Fleet) runWorld(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-f.wake:
		}
		timer.Reset(max(0, f.step()))
	}
}

// step advances the world, records how late that was, and returns the time until the next event. That may be negative.
func (f *Fleet) step() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if due, ok := f.world.NextEvent(); ok && due < f.now() {
		f.lateness.record(f.now() - due)
	}
	f.advance()
	if due, ok := f.world.NextEvent(); ok {
		return due - f.now()
	}
	return idleWait
}

// advance brings the world up to now, sends its responses, and opens or closes the ports of machines that restarted or failed.
// The caller holds f.mu.
func (f *Fleet) advance() {
	for _, response := range f.world.Advance(f.now()) {
		request := f.pending[response.ID]
		if request == nil {
			continue // cancelled meanwhile
		}
		delete(f.pending, response.ID)
		f.rules.attemptEnded(request, response.Status)
		request.conn.respond(request, response)
	}
	for _, id := range f.world.Changed() {
		if up, _, _ := f.world.Up(id); up {
			f.servers[id].reopen()
		} else {
			f.servers[id].stop()
		}
		f.discovery.announceChange(id)
	}
}

// update changes the world at the present time. It notifies runWorld, as the next event may be earlier now.
func (f *Fleet) update(change func(world *simulation.World)) {
	f.mu.Lock()
	f.advance()
	change(f.world)
	f.advance()
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
