package membership

import (
	"slices"
	"time"
)

// Coordinator returns the replica that runs the singleton roles, according to the information of
// the calling replica, own. Candidates are the given members that are live and established. They
// are unrelated to the candidates of the table, which are addresses. A candidate is eligible unless
// its status has Ineligible set. Coordinator returns the eligible candidate with the lowest member
// ID, or the candidate with the lowest member ID if none is eligible, or own if there is no
// candidate. Two replicas may temporarily get different results, so the roles must tolerate two
// coordinators at the same time. (DESIGN 6.3)
func (t ReplicaTable) Coordinator(own Replica, members []int, now time.Time) Replica {
	live := slices.DeleteFunc(t.Live(now), func(replica Replica) bool { return replica.MemberID == own.MemberID })
	live = append(live, own)
	live = slices.DeleteFunc(live, func(replica Replica) bool {
		return !replica.Established || !slices.Contains(members, replica.MemberID)
	})
	if len(live) == 0 {
		return own
	}
	eligible := slices.DeleteFunc(slices.Clone(live), func(replica Replica) bool { return replica.Ineligible })
	if len(eligible) == 0 {
		return slices.MinFunc(live, byMemberID)
	}
	return slices.MinFunc(eligible, byMemberID)
}
