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
	b := newBench(t, plainly)
	there := b.entry.Address
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.entry.Address = ln.Addr().String()
	ln.Close()
	if rc := b.put(Attempt{}, nil); rc.Fate != routing.NotRun || rc.Reached {
		t.Errorf("%+v", rc)
	}
	if len(b.far.links.shelves) != 0 {
		t.Error("a place is kept for nobody")
	}
	b.entry.Address = there
	b.good(t, Attempt{})
}

// The sweep closes what is idle too long, what leads to a backend that takes nothing
// more, and what an instance elsewhere answered.
func TestSweep(t *testing.T) {
	other := false
	b := newBench(t, func(v visit) bool {
		if other {
			v.say(v.id, "ok", "Elsewhere: 1")
		} else {
			v.say(v.id, "ok")
		}
		return true
	})
	var stands atomic.Bool
	stands.Store(true)
	b.far.links.stands = func(place) bool { return stands.Load() }
	idle := func(want int, why string) {
		t.Helper()
		if n := b.far.links.idle(); n != want {
			t.Errorf("%s: %d are idle", why, n)
		}
	}
	b.good(t, Attempt{})
	b.far.links.once(time.Now())
	idle(1, "young")
	b.far.links.once(time.Now().Add(keepFor))
	idle(0, "too long")
	b.good(t, Attempt{})
	stands.Store(false)
	b.far.links.once(time.Now())
	idle(0, "leaving")
	stands.Store(true)
	b.good(t, Attempt{})
	other = true
	if rc := b.put(Attempt{}, nil); rc.Fate != routing.NotRun || !rc.Reached {
		t.Errorf("%+v", rc)
	}
	idle(0, "elsewhere")
}
