package dataplane

import (
	"testing"
	"time"
)

// A word of leaving is acknowledged once, as soon as a core has the node in the revision
// that has it, or when it has waited long enough.
func TestPendingDepartures(t *testing.T) {
	now := time.Now()
	var p pendingDepartures
	got := map[uint64]int{}
	for _, rev := range []uint64{3, 5, 7} {
		p.add(rev, now, func() { got[rev]++ })
	}
	p.replicated(2)
	if len(got) != 0 || !p.nonEmpty.Load() {
		t.Fatalf("acknowledged %v by an earlier revision", got)
	}
	p.replicated(5)
	p.replicated(5)
	if got[3] != 1 || got[5] != 1 || got[7] != 0 {
		t.Fatalf("acknowledged %v", got)
	}
	p.expire(now.Add(acknowledgeTimeout - 1))
	if got[7] != 0 {
		t.Error("acknowledged before its time")
	}
	p.expire(now.Add(acknowledgeTimeout))
	if got[7] != 1 || p.nonEmpty.Load() {
		t.Errorf("acknowledged %v, waiting %v", got, p.nonEmpty.Load())
	}
}
