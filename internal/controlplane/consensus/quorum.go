package consensus

import (
	"cmp"
	"slices"

	"curlewwalk/internal/config"
)

// Majority returns the smallest number of members that is a majority of n.
func Majority(n int) int { return n/2 + 1 }

// MemberSets holds the member sets whose majorities decide. Each set is sorted by member ID.
// While a reconfiguration is the newest change, majorities of both the current and the previous
// set are needed. (DESIGN 6.5)
type MemberSets struct {
	Current  []config.Member `msgpack:"n,omitempty" json:"now"`
	Previous []config.Member `msgpack:"b,omitempty" json:"before,omitempty"`
}

// inForce returns the sets whose majorities are needed.
func (s MemberSets) inForce() [][]config.Member {
	if len(s.Previous) > 0 {
		return [][]config.Member{s.Current, s.Previous}
	}
	return [][]config.Member{s.Current}
}

// Union returns the members of all sets, sorted by member ID.
func (s MemberSets) Union() []config.Member { return unionMembers(s.Current, s.Previous) }

// HasQuorum reports whether replies include a majority of each set.
func (s MemberSets) HasQuorum(replies map[int]Reply) bool {
	for _, members := range s.inForce() {
		if len(members) == 0 || countMembers(members, replies) < Majority(len(members)) {
			return false
		}
	}
	return true
}

// quorumReachable reports whether each set still has a majority when the senders of the given
// replies are excluded.
func (s MemberSets) quorumReachable(without map[int]Reply) bool {
	for _, members := range s.inForce() {
		if len(members)-countMembers(members, without) < Majority(len(members)) {
			return false
		}
	}
	return true
}

// countMembers returns the number of replies whose senders are in a set.
func countMembers(members []config.Member, replies map[int]Reply) int {
	count := 0
	for _, reply := range replies {
		if containsSender(members, reply.Sender) {
			count++
		}
	}
	return count
}

// staticMembers returns the set of n static members. Their disks are distinguished by
// incarnation.
func staticMembers(n int) []config.Member {
	var members []config.Member
	for id := 1; id <= n; id++ {
		members = append(members, config.Member{MemberID: id})
	}
	return members
}

// unionMembers returns the members of several sets, sorted and without duplicates.
func unionMembers(sets ...[]config.Member) []config.Member {
	members := slices.Concat(sets...)
	slices.SortFunc(members, func(a, b config.Member) int {
		return cmp.Or(cmp.Compare(a.MemberID, b.MemberID), cmp.Compare(a.DiskID, b.DiskID))
	})
	return slices.CompactFunc(members, sameMember)
}

// sameMember reports whether two members have the same member ID and disk ID.
func sameMember(a, b config.Member) bool { return a.MemberID == b.MemberID && a.DiskID == b.DiskID }

// containsMember reports whether a set has a member with the same member ID and disk ID.
func containsMember(members []config.Member, member config.Member) bool {
	return slices.ContainsFunc(members, func(m config.Member) bool { return sameMember(m, member) })
}

// containsSender reports whether a sender belongs to a set. A static member has no disk ID, so
// any disk with its member ID matches.
func containsSender(members []config.Member, sender Sender) bool {
	return slices.ContainsFunc(members, func(m config.Member) bool {
		return m.MemberID == sender.MemberID && (m.DiskID == 0 || m.DiskID == sender.DiskID)
	})
}

// MemberIDs returns the member IDs of a set.
func MemberIDs(members []config.Member) []int {
	var ids []int
	for _, m := range members {
		ids = append(ids, m.MemberID)
	}
	return ids
}
