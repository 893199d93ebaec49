package dataplane

import (
	"testing"
	"time"
)

// A departure is acknowledged once, as soon as a control plane replica has stored the version
// of the node that has it, or when it has waited long enough.
func TestPendingDepartures(t *testing.T) {
	now := time.Now()
	var p pendingDepartures
	acknowledged := map[uint64]int{}
	for _, version := range []uint64{3, 5, 7} {
		p.add(version, now, func() { acknowledged[version]++ })
	}
	p.replicated(2)
	if len(acknowledged) != 0 || !p.nonEmpty.Load() {
		t.Fatalf("acknowledged %v by an earlier version", acknowledged)
	}
	p.replicated(5)
	p.replicated(5)
	if acknowledged[3] != 1 || acknowledged[5] != 1 || acknowledged[7] != 0 {
		t.Fatalf("acknowledged %v", acknowledged)
	}
	p.expire(now.Add(acknowledgeTimeout - 1))
	if acknowledged[7] != 0 {
		t.Error("acknowledged before its time")
	}
	p.expire(now.Add(acknowledgeTimeout))
	if acknowledged[7] != 1 || p.nonEmpty.Load() {
		t.Errorf("acknowledged %v, waiting %v", acknowledged, p.nonEmpty.Load())
	}
}
