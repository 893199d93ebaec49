package membership

import (
	"slices"
	"time"
)

// Coordinator is the core that has the duty, as far as one core knows: the first in the order
// of slots that is live and able, among the members of a set. While none is able, it is
// the first live one; own, who asks, if there is none at all. (DESIGN 6.3)
func (table ReplicaTable) Coordinator(ownReplica Replica, members []int, now time.Time) Replica {
	live := slices.DeleteFunc(table.Live(now), func(replica Replica) bool { return replica.MemberID == ownReplica.MemberID })
	live = append(live, ownReplica)
	live = slices.DeleteFunc(live, func(replica Replica) bool { return !replica.Established || !slices.Contains(members, replica.MemberID) })
	if len(live) == 0 {
		return ownReplica
	}
	first := func(a, b Replica) int { return a.MemberID - b.MemberID }
	able := slices.DeleteFunc(slices.Clone(live), func(replica Replica) bool { return replica.Ineligible })
	if len(able) == 0 {
		return slices.MinFunc(live, first)
	}
	return slices.MinFunc(able, first)
}
