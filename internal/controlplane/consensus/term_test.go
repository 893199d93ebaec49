package consensus

import "testing"

// No two slots ever take the same epoch, nor does one that still counts as version
// 1 did, and each takes one above all that it knows of.
func TestTermsOfMembersAreDistinct(t *testing.T) {
	const earlierStride = 1 << 16
	for _, known := range []uint64{0, 1, 7, earlierStride - 1, earlierStride, 3*earlierStride + 2, 1<<30 + 5, 1 << 40, 1<<50 + 17} {
		seen := map[uint64]int{}
		for _, memberID := range []int{1, 2, 3, 4, 1000, earlierStride - 1, earlierStride, earlierStride + 1, earlierStride + 2, 1 << 20, MaxMemberID} {
			e := nextTerm(known, memberID, 0)
			if e <= known {
				t.Errorf("slot %d takes epoch %d after %d", memberID, e, known)
			}
			if other, ok := seen[e]; ok {
				t.Errorf("slots %d and %d both take epoch %d after %d", memberID, other, e, known)
			}
			seen[e] = memberID
			if memberID < earlierStride && e%earlierStride != uint64(memberID) {
				t.Errorf("slot %d takes epoch %d, which an earlier version would take for another slot's", memberID, e)
			}
		}
	}
}

// The count of slots outlasts years of replacements: one every ten seconds for thirty
// years, and as many epochs as a contest of proposers ten times a second begins in that
// time.
func TestMemberIDsOutlastYears(t *testing.T) {
	const year = 365 * 24 * 3600
	const replacements, epochs = 30 * year / 10, 30 * year * 10
	acceptor, statuses := liveMembers(3)
	acceptor.State.Members, acceptor.State.HighestMemberID = acceptor.InitialMembers, replacements
	markDead(statuses, 3)
	reconfigurer, now := observed(acceptor, statuses, 0)
	command, ok := reconfigurer.PlanJoin(JoinRequest{DiskID: 99, Addr: "c"}, acceptor, statuses, now)
	if !ok || command.Joining.MemberID != replacements+1 || command.Leaving != 3 {
		t.Fatalf("after %d replacements an empty disk gets no slot: %+v %v", replacements, command, ok)
	}
	known := uint64(0)
	if step := nextTerm(known, 1, 0) - known; step > (1<<63)/epochs {
		t.Errorf("%d epochs of %d each do not fit", epochs, step)
	}
}
