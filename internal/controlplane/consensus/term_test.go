package consensus

import "testing"

// Terms of different members differ, also if one of them runs a version with the earlier
// stride, and each new term is above the highest known one.
func TestTermsOfMembersAreDistinct(t *testing.T) {
	const earlierStride = 1 << 16
	for _, highest := range []uint64{0, 1, 7, earlierStride - 1, earlierStride, 3*earlierStride + 2, 1<<30 + 5, 1 << 40, 1<<50 + 17} {
		seen := map[uint64]int{}
		for _, memberID := range []int{1, 2, 3, 4, 1000, earlierStride - 1, earlierStride, earlierStride + 1, earlierStride + 2, 1 << 20, maxMemberID} {
			term := nextTerm(highest, memberID, 0)
			if term <= highest {
				t.Errorf("nextTerm of member %d = %d, want more than %d", memberID, term, highest)
			}
			if other, ok := seen[term]; ok {
				t.Errorf("members %d and %d both get term %d after %d", memberID, other, term, highest)
			}
			seen[term] = memberID
			if memberID < earlierStride && term%earlierStride != uint64(memberID) {
				t.Errorf("member %d gets term %d, which an earlier version would attribute to another member", memberID, term)
			}
		}
	}
}

// Member IDs suffice for one replacement every ten seconds for thirty years. Terms suffice for
// competing proposers that start ten terms a second during that time.
func TestMemberIDsOutlastYears(t *testing.T) {
	const year = 365 * 24 * 3600
	const replacements, terms = 30 * year / 10, 30 * year * 10
	acceptor, statuses := liveMembers(3)
	acceptor.State.Members, acceptor.State.HighestMemberID = acceptor.InitialMembers, replacements
	markDead(statuses, 3)
	planner, now := observed(acceptor, statuses, 0)
	command, ok := planner.PlanJoin(JoinRequest{DiskID: 99, Addr: "c"}, acceptor, statuses, now)
	if !ok || command.Joining.MemberID != replacements+1 || command.Leaving != 3 {
		t.Fatalf("PlanJoin() after %d replacements = %+v, %v, want the next member ID", replacements, command, ok)
	}
	highest := uint64(0)
	if step := nextTerm(highest, 1, 0) - highest; step > (1<<63)/terms {
		t.Errorf("%d terms with stride %d do not fit in 63 bits", terms, step)
	}
}

// Two members never get the same term, whatever terms they know.
func TestTermsSurviveReconfiguration(t *testing.T) {
	for _, staticSize := range []int{0, 3} {
		seen := map[uint64]int{}
		for memberID := 1; memberID <= 3; memberID++ {
			term := uint64(0)
			for range 100 {
				term = nextTerm(term, memberID, staticSize)
				if id, ok := seen[term]; ok {
					t.Fatalf("members %d and %d both get term %d", id, memberID, term)
				}
				seen[term] = memberID
			}
		}
	}
}
