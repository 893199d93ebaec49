package consensus

import (
	"cmp"
	"slices"

	"curlewwalk/internal/config"
)

// Majority is how many of n members decide.
func Majority(n int) int { return n/2 + 1 }

// MemberSets are the member sets whose majorities decide: the current one and, while a
// reconfiguration is the newest change, the previous one as well. (DESIGN 6.5)
type MemberSets struct {
	Current  []config.Member `msgpack:"n,omitempty" json:"now"`
	Previous []config.Member `msgpack:"b,omitempty" json:"before,omitempty"`
}

// inForce lists the sets that there are.
func (s MemberSets) inForce() [][]config.Member {
	if len(s.Previous) > 0 {
		return [][]config.Member{s.Current, s.Previous}
	}
	return [][]config.Member{s.Current}
}

// Union lists the members of all sets, sorted by ID.
func (s MemberSets) Union() []config.Member { return unionMembers(s.Current, s.Previous) }

// HasQuorum reports whether replies came from a majority of each set.
func (s MemberSets) HasQuorum(replies map[int]Reply) bool {
	for _, members := range s.inForce() {
		if len(members) == 0 || countMembers(members, replies) < Majority(len(members)) {
			return false
		}
	}
	return true
}

// quorumReachable reports whether a majority of each set is left without some acceptors.
func (s MemberSets) quorumReachable(without map[int]Reply) bool {
	for _, members := range s.inForce() {
		if len(members)-countMembers(members, without) < Majority(len(members)) {
			return false
		}
	}
	return true
}

// countMembers counts the replies that came from members of a set.
func countMembers(members []config.Member, replies map[int]Reply) int {
	count := 0
	for _, reply := range replies {
		if containsSender(members, reply.Sender) {
			count++
		}
	}
	return count
}

// staticMembers is the set of n static members, whose disks are told apart by incarnation.
func staticMembers(n int) []config.Member {
	var members []config.Member
	for id := 1; id <= n; id++ {
		members = append(members, config.Member{MemberID: id})
	}
	return members
}

// unionMembers lists the members of some sets, sorted and each of them once.
func unionMembers(sets ...[]config.Member) []config.Member {
	members := slices.Concat(sets...)
	slices.SortFunc(members, func(a, b config.Member) int {
		return cmp.Or(cmp.Compare(a.MemberID, b.MemberID), cmp.Compare(a.DiskID, b.DiskID))
	})
	return slices.CompactFunc(members, sameMember)
}

// sameMember reports whether two are one disk under one member ID.
func sameMember(a, b config.Member) bool { return a.MemberID == b.MemberID && a.DiskID == b.DiskID }

// containsMember reports whether a set has a member with the same ID and disk.
func containsMember(members []config.Member, member config.Member) bool {
	return slices.ContainsFunc(members, func(m config.Member) bool { return sameMember(m, member) })
}

// containsSender reports whether a set has a sender among its members. A static member has no
// disk ID: any disk under its member ID will do.
func containsSender(members []config.Member, sender Sender) bool {
	return slices.ContainsFunc(members, func(m config.Member) bool {
		return m.MemberID == sender.MemberID && (m.DiskID == 0 || m.DiskID == sender.DiskID)
	})
}

// MemberIDs lists the member IDs of a set.
func MemberIDs(members []config.Member) []int {
	var ids []int
	for _, m := range members {
		ids = append(ids, m.MemberID)
	}
	return ids
}
