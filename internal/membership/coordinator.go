package membership

import (
	"slices"
	"time"
)

// Coordinator returns the replica that runs the singleton roles, as far as the asking replica
// knows: among the given members the one with the lowest member ID that is live and eligible;
// if none is eligible, the one with the lowest ID that is live; and the asking one, own, if
// none is live. Two replicas may disagree for a while, so the roles must bear that.
// (DESIGN 6.3)
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
