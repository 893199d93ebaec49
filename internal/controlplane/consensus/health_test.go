package consensus

import (
	"testing"
	"time"
)

// A replica is healthy while its disk completes writes in time and a majority answers. After a
// write that failed or took too long, it is healthy again only once another write has completed
// in time.
func TestHealth(t *testing.T) {
	const second = time.Second
	h := Health{}.QuorumContacted(10 * second)
	expectHealthy := func(at time.Duration, want bool) {
		t.Helper()
		if got := h.Healthy(at); got != want {
			t.Errorf("at %v: Healthy() = %v, want the opposite", at, got)
		}
	}
	expectHealthy(10*second, true)
	expectHealthy(10*second+maxContactAge, true)
	expectHealthy(10*second+maxContactAge+1, false) // no recent quorum contact
	h = h.QuorumContacted(12 * second).QuorumContacted(11 * second)
	expectHealthy(12*second, true)
	h = h.WriteStarted(12 * second)
	expectHealthy(12*second+maxWriteDuration, true)
	expectHealthy(12*second+maxWriteDuration+1, false) // the write takes too long
	h = h.WriteEnded(true, 13*second)
	expectHealthy(13*second, false) // the write ended too late
	h = h.WriteStarted(13*second).WriteEnded(false, 13*second)
	expectHealthy(13*second, false) // the write failed
	h = h.WriteStarted(13*second).WriteEnded(true, 13*second+maxWriteDuration)
	expectHealthy(13*second, true)
	if !h.DiskHealthy(20*second) || h.Connected(20*second) {
		t.Error("want a healthy disk and no quorum contact")
	}
}

// A replica that did not tick for longer than suspensionGap counts as resumed. It does so even
// before its first tick after the gap, and until the messages queued meanwhile have been
// handled.
func TestHealthAfterSuspension(t *testing.T) {
	var h Health
	now := time.Duration(0)
	for range 20 {
		now += tickInterval
		if h = h.Ticked(now); h.RecentlyResumed(now) || h.RecentlyResumed(now+suspensionGap) {
			t.Fatalf("counts as resumed at %v without a gap", now)
		}
	}
	now += suspensionGap + 1
	if !h.RecentlyResumed(now) {
		t.Error("does not count as resumed before its first tick after the gap")
	}
	for resumed := now; now < resumed+resumeGracePeriod; now += tickInterval {
		if h = h.Ticked(now); !h.RecentlyResumed(now) {
			t.Errorf("does not count as resumed %v after the first tick", now-resumed)
		}
	}
	if h = h.Ticked(now); h.RecentlyResumed(now) {
		t.Error("still counts as resumed after the grace period")
	}
}
