package proxy

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// TestBackendUnreachable checks that an attempt to an address without a listener is reported as not
// run and leaves no entry in the pool.
func TestBackendUnreachable(t *testing.T) {
	b := newFakeBackend(t, respondOK)
	address := b.endpoint.Address
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.endpoint.Address = listener.Addr().String()
	listener.Close()
	if response := b.send(Attempt{}, nil); response.Outcome != routing.NotRun || response.ReachedBackend {
		t.Errorf("response %+v, want one that was not run and did not reach the backend", response)
	}
	if len(b.inbound.pool.entries) != 0 {
		t.Error("an entry is left in the pool")
	}
	b.endpoint.Address = address
	b.mustAnswer(t, Attempt{})
}

// TestSweep checks that the sweep closes connections that have been idle for too long or whose
// backend is draining, and that a misrouted response closes the idle connections to its address.
func TestSweep(t *testing.T) {
	misrouted := false
	b := newFakeBackend(t, func(r receivedRequest) bool {
		if misrouted {
			r.respond(r.id, "ok", "Elsewhere: 1")
		} else {
			r.respond(r.id, "ok")
		}
		return true
	})
	var current atomic.Bool
	current.Store(true)
	b.inbound.pool.isCurrent = func(backendAddress) bool { return current.Load() }
	expectIdle := func(want int, why string) {
		t.Helper()
		if n := b.inbound.pool.idleCount(); n != want {
			t.Errorf("%s: %d idle connections, want %d", why, n, want)
		}
	}
	b.mustAnswer(t, Attempt{})
	b.inbound.pool.sweepOnce(time.Now())
	expectIdle(1, "idle for a short time")
	b.inbound.pool.sweepOnce(time.Now().Add(maxIdleTime))
	expectIdle(0, "idle for too long")
	b.mustAnswer(t, Attempt{})
	current.Store(false)
	b.inbound.pool.sweepOnce(time.Now())
	expectIdle(0, "backend draining")
	current.Store(true)
	b.mustAnswer(t, Attempt{})
	misrouted = true
	if response := b.send(Attempt{}, nil); response.Outcome != routing.NotRun || !response.ReachedBackend {
		t.Errorf("response %+v, want one that was not run and reached the backend", response)
	}
	expectIdle(0, "misrouted")
}
