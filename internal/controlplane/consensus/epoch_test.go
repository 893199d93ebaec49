package consensus

import "testing"

// No two slots ever take the same epoch, nor does one that still counts as version
// 1 did, and each takes one above all that it knows of.
func TestEpochsAreApart(t *testing.T) {
	const earlierStride = 1 << 16
	for _, known := range []uint64{0, 1, 7, earlierStride - 1, earlierStride, 3*earlierStride + 2, 1<<30 + 5, 1 << 40, 1<<50 + 17} {
		seen := map[uint64]int{}
		for _, slot := range []int{1, 2, 3, 4, 1000, earlierStride - 1, earlierStride, earlierStride + 1, earlierStride + 2, 1 << 20, MostSlots} {
			e := epochAfter(known, slot, 0)
			if e <= known {
				t.Errorf("slot %d takes epoch %d after %d", slot, e, known)
			}
			if other, ok := seen[e]; ok {
				t.Errorf("slots %d and %d both take epoch %d after %d", slot, other, e, known)
			}
			seen[e] = slot
			if slot < earlierStride && e%earlierStride != uint64(slot) {
				t.Errorf("slot %d takes epoch %d, which an earlier version would take for another slot's", slot, e)
			}
		}
	}
}

// The count of slots outlasts years of replacements: one every ten seconds for thirty
// years, and as many epochs as a contest of proposers ten times a second begins in that
// time.
func TestSlotsOutlastYears(t *testing.T) {
	const year = 365 * 24 * 3600
	const replacements, epochs = 30 * year / 10, 30 * year * 10
	v, places := hall(3)
	v.Word.Slots, v.Word.Top = v.Founders, replacements
	dead(places, 3)
	u, now := watched(v, places, 0)
	o, ok := u.Seat(Asker{ID: 99, Addr: "c"}, v, places, now)
	if !ok || o.Seat.Slot != replacements+1 || o.Out != 3 {
		t.Fatalf("after %d replacements an empty disk gets no slot: %+v %v", replacements, o, ok)
	}
	known := uint64(0)
	if step := epochAfter(known, 1, 0) - known; step > (1<<63)/epochs {
		t.Errorf("%d epochs of %d each do not fit", epochs, step)
	}
}
