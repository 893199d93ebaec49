package consensus

import (
	"testing"
	"time"
)

// A core is able while its disk takes writes in time and a majority answers it; after
// a failure or a write that took too long, only once another has ended in time.
func TestHealth(t *testing.T) {
	const second = time.Second
	h := Health{}.QuorumContacted(10 * second)
	able := func(at time.Duration, want bool) {
		t.Helper()
		if got := h.Healthy(at); got != want {
			t.Errorf("at %v: able %v", at, got)
		}
	}
	able(10*second, true)
	able(10*second+maxContactAge, true)
	able(10*second+maxContactAge+1, false) // no majority
	h = h.QuorumContacted(12 * second).QuorumContacted(11 * second)
	able(12*second, true)
	h = h.WriteStarted(12 * second)
	able(12*second+maxWriteDuration, true)
	able(12*second+maxWriteDuration+1, false) // the disk stalls
	h = h.WriteEnded(true, 13*second)
	able(13*second, false) // it took too long
	h = h.WriteStarted(13*second).WriteEnded(false, 13*second)
	able(13*second, false) // it failed
	h = h.WriteStarted(13*second).WriteEnded(true, 13*second+maxWriteDuration)
	able(13*second, true)
	if !h.DiskHealthy(20*second) || h.Connected(20*second) {
		t.Error("what lacks is told wrongly")
	}
}

// A keeper that was still for longer than a gap counts as woken, from before its thread
// runs again until what piled up has been seen to.
func TestHealthAfterSuspension(t *testing.T) {
	var h Health
	now := time.Duration(0)
	for range 20 {
		now += tickInterval
		if h = h.Ticked(now); h.RecentlyResumed(now) || h.RecentlyResumed(now+suspensionGap) {
			t.Fatalf("woken at %v, without a gap", now)
		}
	}
	now += suspensionGap + 1
	if !h.RecentlyResumed(now) {
		t.Error("not woken before its thread has run")
	}
	for woken := now; now < woken+resumeGracePeriod; now += tickInterval {
		if h = h.Ticked(now); !h.RecentlyResumed(now) {
			t.Errorf("not woken any more after %v", now-woken)
		}
	}
	if h = h.Ticked(now); h.RecentlyResumed(now) {
		t.Error("woken for ever")
	}
}
