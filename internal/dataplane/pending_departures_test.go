package dataplane

import (
	"testing"
	"time"
)

// TestPendingDepartures checks that a departure is acknowledged exactly once: when a control
// plane replica has stored a version of the node that contains it, or after
// acknowledgeTimeout.
func TestPendingDepartures(t *testing.T) {
	now := time.Now()
	var p pendingDepartures
	acknowledged := map[uint64]int{}
	for _, version := range []uint64{3, 5, 7} {
		p.add(version, now, func() { acknowledged[version]++ })
	}
	p.replicated(2)
	if len(acknowledged) != 0 || !p.nonEmpty.Load() {
		t.Fatalf("version 2 acknowledged %v, want no departure acknowledged and some pending", acknowledged)
	}
	p.replicated(5)
	p.replicated(5)
	if acknowledged[3] != 1 || acknowledged[5] != 1 || acknowledged[7] != 0 {
		t.Fatalf("version 5 acknowledged %v, want versions 3 and 5 once each", acknowledged)
	}
	p.expire(now.Add(acknowledgeTimeout - 1))
	if acknowledged[7] != 0 {
		t.Error("departure acknowledged before acknowledgeTimeout")
	}
	p.expire(now.Add(acknowledgeTimeout))
	if acknowledged[7] != 1 || p.nonEmpty.Load() {
		t.Errorf("after acknowledgeTimeout: acknowledged %v, pending %v; want version 7 acknowledged once and none pending", acknowledged, p.nonEmpty.Load())
	}
}
