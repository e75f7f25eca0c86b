package peer

// Helpers for dialling that links and uplinks share: the dial function, the local errors and the redial backoff.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"
)

// dialFunc connects to an address, like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dialOrDefault returns the given dial function, or that of net.Dialer if it is nil.
func dialOrDefault(dial dialFunc) dialFunc {
	if dial == nil {
		return (&net.Dialer{}).DialContext
	}
	return dial
}

// localErrors are temporary errors of system calls whose cause is on this host: no free descriptors, memory or ports, no route, or a
// firewall rule. They do not indicate a fault of the other side.
var localErrors = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH,
	syscall.EPERM,
}

// isLocalError reports whether the cause of an error is on this host.
func isLocalError(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// randomBackoff returns a random duration between half of the backoff and the full backoff, so that instances do not dial in step.
func randomBackoff(backoff time.Duration) time.Duration { return backoff/2 + rand.N(backoff/2+1) }
