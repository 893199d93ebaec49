package dataplane

import (
	"testing"
	"time"
)

// A word of leaving is acknowledged once, as soon as a core has the node in the revision
// that has it, or when it has waited long enough.
func TestHeldWords(t *testing.T) {
	now := time.Now()
	var h heldWords
	got := map[uint64]int{}
	for _, rev := range []uint64{3, 5, 7} {
		h.add(rev, now, func() { got[rev]++ })
	}
	h.heard(2)
	if len(got) != 0 || !h.waiting.Load() {
		t.Fatalf("acknowledged %v by an earlier revision", got)
	}
	h.heard(5)
	h.heard(5)
	if got[3] != 1 || got[5] != 1 || got[7] != 0 {
		t.Fatalf("acknowledged %v", got)
	}
	h.overdue(now.Add(heldFor - 1))
	if got[7] != 0 {
		t.Error("acknowledged before its time")
	}
	h.overdue(now.Add(heldFor))
	if got[7] != 1 || h.waiting.Load() {
		t.Errorf("acknowledged %v, waiting %v", got, h.waiting.Load())
	}
}
