package consensus

import (
	"testing"
	"time"
)

// A replica is healthy while its disk takes writes in time and a majority answers it; after a
// write that failed or took too long, only once another has ended in time.
func TestHealth(t *testing.T) {
	const second = time.Second
	h := Health{}.QuorumContacted(10 * second)
	expectHealthy := func(at time.Duration, want bool) {
		t.Helper()
		if got := h.Healthy(at); got != want {
			t.Errorf("at %v: healthy %v", at, got)
		}
	}
	expectHealthy(10*second, true)
	expectHealthy(10*second+maxContactAge, true)
	expectHealthy(10*second+maxContactAge+1, false) // no majority
	h = h.QuorumContacted(12 * second).QuorumContacted(11 * second)
	expectHealthy(12*second, true)
	h = h.WriteStarted(12 * second)
	expectHealthy(12*second+maxWriteDuration, true)
	expectHealthy(12*second+maxWriteDuration+1, false) // the disk stalls
	h = h.WriteEnded(true, 13*second)
	expectHealthy(13*second, false) // it took too long
	h = h.WriteStarted(13*second).WriteEnded(false, 13*second)
	expectHealthy(13*second, false) // it failed
	h = h.WriteStarted(13*second).WriteEnded(true, 13*second+maxWriteDuration)
	expectHealthy(13*second, true)
	if !h.DiskHealthy(20*second) || h.Connected(20*second) {
		t.Error("healthy for the wrong reason")
	}
}

// A replica that was still for longer than a gap counts as resumed, from before it runs again
// until what piled up is handled.
func TestHealthAfterSuspension(t *testing.T) {
	var h Health
	now := time.Duration(0)
	for range 20 {
		now += tickInterval
		if h = h.Ticked(now); h.RecentlyResumed(now) || h.RecentlyResumed(now+suspensionGap) {
			t.Fatalf("resumed at %v, without a gap", now)
		}
	}
	now += suspensionGap + 1
	if !h.RecentlyResumed(now) {
		t.Error("not resumed before it has run")
	}
	for resumed := now; now < resumed+resumeGracePeriod; now += tickInterval {
		if h = h.Ticked(now); !h.RecentlyResumed(now) {
			t.Errorf("not resumed any more after %v", now-resumed)
		}
	}
	if h = h.Ticked(now); h.RecentlyResumed(now) {
		t.Error("resumed for ever")
	}
}
