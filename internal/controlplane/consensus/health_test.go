package consensus

import (
	"testing"
	"time"
)

// A core is able while its disk takes writes in time and a majority answers it; after
// a failure or a write that took too long, only once another has ended in time.
func TestHealth(t *testing.T) {
	const second = time.Second
	h := Health{}.Contacted(10 * second)
	able := func(at time.Duration, want bool) {
		t.Helper()
		if got := h.Able(at); got != want {
			t.Errorf("at %v: able %v", at, got)
		}
	}
	able(10*second, true)
	able(10*second+contactWithin, true)
	able(10*second+contactWithin+1, false) // no majority
	h = h.Contacted(12 * second).Contacted(11 * second)
	able(12*second, true)
	h = h.WriteBegan(12 * second)
	able(12*second+syncWithin, true)
	able(12*second+syncWithin+1, false) // the disk stalls
	h = h.WriteEnded(true, 13*second)
	able(13*second, false) // it took too long
	h = h.WriteBegan(13*second).WriteEnded(false, 13*second)
	able(13*second, false) // it failed
	h = h.WriteBegan(13*second).WriteEnded(true, 13*second+syncWithin)
	able(13*second, true)
	if !h.Durable(20*second) || h.Connected(20*second) {
		t.Error("what lacks is told wrongly")
	}
}

// A keeper that was still for longer than a gap counts as woken, from before its thread
// runs again until what piled up has been seen to.
func TestWoken(t *testing.T) {
	var h Health
	now := time.Duration(0)
	for range 20 {
		now += tickEvery
		if h = h.Seen(now); h.Woken(now) || h.Woken(now+wakeGap) {
			t.Fatalf("woken at %v, without a gap", now)
		}
	}
	now += wakeGap + 1
	if !h.Woken(now) {
		t.Error("not woken before its thread has run")
	}
	for woken := now; now < woken+wokenFor; now += tickEvery {
		if h = h.Seen(now); !h.Woken(now) {
			t.Errorf("not woken any more after %v", now-woken)
		}
	}
	if h = h.Seen(now); h.Woken(now) {
		t.Error("woken for ever")
	}
}
