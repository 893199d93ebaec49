package consensus

import "testing"

// No two members ever take the same term, nor does one of a version that counts with the
// earlier stride, and each takes one above all that it knows.
func TestTermsOfMembersAreDistinct(t *testing.T) {
	const earlierStride = 1 << 16
	for _, highest := range []uint64{0, 1, 7, earlierStride - 1, earlierStride, 3*earlierStride + 2, 1<<30 + 5, 1 << 40, 1<<50 + 17} {
		seen := map[uint64]int{}
		for _, memberID := range []int{1, 2, 3, 4, 1000, earlierStride - 1, earlierStride, earlierStride + 1, earlierStride + 2, 1 << 20, maxMemberID} {
			term := nextTerm(highest, memberID, 0)
			if term <= highest {
				t.Errorf("member %d takes term %d after %d", memberID, term, highest)
			}
			if other, ok := seen[term]; ok {
				t.Errorf("members %d and %d both take term %d after %d", memberID, other, term, highest)
			}
			seen[term] = memberID
			if memberID < earlierStride && term%earlierStride != uint64(memberID) {
				t.Errorf("member %d takes term %d, which an earlier version would take for another member's", memberID, term)
			}
		}
	}
}

// Member IDs and terms last for years of replacements: one every ten seconds for thirty years,
// and as many terms as a contest of proposers ten times a second starts in that time.
func TestMemberIDsOutlastYears(t *testing.T) {
	const year = 365 * 24 * 3600
	const replacements, terms = 30 * year / 10, 30 * year * 10
	acceptor, statuses := liveMembers(3)
	acceptor.State.Members, acceptor.State.HighestMemberID = acceptor.InitialMembers, replacements
	markDead(statuses, 3)
	planner, now := observed(acceptor, statuses, 0)
	command, ok := planner.PlanJoin(JoinRequest{DiskID: 99, Addr: "c"}, acceptor, statuses, now)
	if !ok || command.Joining.MemberID != replacements+1 || command.Leaving != 3 {
		t.Fatalf("after %d replacements an empty disk gets no member ID: %+v %v", replacements, command, ok)
	}
	highest := uint64(0)
	if step := nextTerm(highest, 1, 0) - highest; step > (1<<63)/terms {
		t.Errorf("%d terms of %d each do not fit", terms, step)
	}
}

// No two members ever get the same term, whatever each of them knows.
func TestTermsSurviveReconfiguration(t *testing.T) {
	for _, staticSize := range []int{0, 3} {
		seen := map[uint64]int{}
		for memberID := 1; memberID <= 3; memberID++ {
			term := uint64(0)
			for range 100 {
				term = nextTerm(term, memberID, staticSize)
				if id, ok := seen[term]; ok {
					t.Fatalf("members %d and %d both have term %d", id, memberID, term)
				}
				seen[term] = memberID
			}
		}
	}
}
