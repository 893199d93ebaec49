package proxy

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// Nobody there: not run, and no place is lost by it.
func TestNobodyThere(t *testing.T) {
	b := newFakeBackend(t, respondOK)
	there := b.entry.Address
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.entry.Address = ln.Addr().String()
	ln.Close()
	if response := b.send(Attempt{}, nil); response.Outcome != routing.NotRun || response.ReachedBackend {
		t.Errorf("%+v", response)
	}
	if len(b.inbound.pool.entries) != 0 {
		t.Error("a place is kept for nobody")
	}
	b.entry.Address = there
	b.mustAnswer(t, Attempt{})
}

// The sweep closes what is idle too long, what leads to a backend that takes nothing
// more, and what an instance elsewhere answered.
func TestSweep(t *testing.T) {
	other := false
	b := newFakeBackend(t, func(v receivedRequest) bool {
		if other {
			v.respond(v.id, "ok", "Elsewhere: 1")
		} else {
			v.respond(v.id, "ok")
		}
		return true
	})
	var stands atomic.Bool
	stands.Store(true)
	b.inbound.pool.isCurrent = func(backendAddress) bool { return stands.Load() }
	idle := func(want int, why string) {
		t.Helper()
		if n := b.inbound.pool.idleCount(); n != want {
			t.Errorf("%s: %d are idle", why, n)
		}
	}
	b.mustAnswer(t, Attempt{})
	b.inbound.pool.sweepOnce(time.Now())
	idle(1, "young")
	b.inbound.pool.sweepOnce(time.Now().Add(maxIdleTime))
	idle(0, "too long")
	b.mustAnswer(t, Attempt{})
	stands.Store(false)
	b.inbound.pool.sweepOnce(time.Now())
	idle(0, "leaving")
	stands.Store(true)
	b.mustAnswer(t, Attempt{})
	other = true
	if response := b.send(Attempt{}, nil); response.Outcome != routing.NotRun || !response.ReachedBackend {
		t.Errorf("%+v", response)
	}
	idle(0, "elsewhere")
}
