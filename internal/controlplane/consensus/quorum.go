package consensus

import (
	"cmp"
	"slices"

	"curlewwalk/internal/config"
)

// MemberSets are the sets of slots that decide: the one in force and, while a change
// of it is the newest change, the one before. (DESIGN 6.5)
type MemberSets struct {
	Current  []config.Member `msgpack:"n,omitempty" json:"now"`
	Previous []config.Member `msgpack:"b,omitempty" json:"before,omitempty"`
}

// staticMembers is the set of n slots whose disks are told apart by incarnation.
func staticMembers(n int) []config.Member {
	var out []config.Member
	for s := 1; s <= n; s++ {
		out = append(out, config.Member{MemberID: s})
	}
	return out
}

// inForce lists the sets that there are.
func (s MemberSets) inForce() [][]config.Member {
	if len(s.Previous) > 0 {
		return [][]config.Member{s.Current, s.Previous}
	}
	return [][]config.Member{s.Current}
}

// Union lists all members of any of the sets.
func (s MemberSets) Union() []config.Member { return unionMembers(s.Current, s.Previous) }

func unionMembers(sets ...[]config.Member) []config.Member {
	members := slices.Concat(sets...)
	slices.SortFunc(members, func(a, b config.Member) int {
		return cmp.Or(cmp.Compare(a.MemberID, b.MemberID), cmp.Compare(a.DiskID, b.DiskID))
	})
	return slices.CompactFunc(members, sameMember)
}

// sameMember tells whether two are one disk in one slot.
func sameMember(a, b config.Member) bool { return a.MemberID == b.MemberID && a.DiskID == b.DiskID }

// containsMember tells whether a set has a member with the same ID and disk.
func containsMember(members []config.Member, member config.Member) bool {
	return slices.ContainsFunc(members, func(m config.Member) bool { return sameMember(m, member) })
}

// MemberIDs lists the slots of a set.
func MemberIDs(members []config.Member) []int {
	var ids []int
	for _, m := range members {
		ids = append(ids, m.MemberID)
	}
	return ids
}

// containsSender tells whether a set has a sender among its members.
func containsSender(members []config.Member, sender Sender) bool {
	return slices.ContainsFunc(members, func(m config.Member) bool {
		return m.MemberID == sender.MemberID && (m.DiskID == 0 || m.DiskID == sender.DiskID)
	})
}

// countMembers counts the votes that came from members of a set.
func countMembers(members []config.Member, replies map[int]Reply) int {
	count := 0
	for _, reply := range replies {
		if containsSender(members, reply.Sender) {
			count++
		}
	}
	return count
}

// HasQuorum tells whether votes are a majority of each set.
func (s MemberSets) HasQuorum(replies map[int]Reply) bool {
	for _, members := range s.inForce() {
		if len(members) == 0 || countMembers(members, replies) < Majority(len(members)) {
			return false
		}
	}
	return true
}

// quorumReachable tells whether majorities of each set are left without some acceptors.
func (s MemberSets) quorumReachable(without map[int]Reply) bool {
	for _, members := range s.inForce() {
		if len(members)-countMembers(members, without) < Majority(len(members)) {
			return false
		}
	}
	return true
}

// HighestReply finds the highest word among votes and its sets; own are those that the
// asker knows of, for votes that tell none.
func HighestReply(replies map[int]Reply, own MemberSets) (highest Reply, sets MemberSets) {
	for _, reply := range replies {
		if c := highest.Position.Compare(reply.Position); c < 0 || c == 0 && len(highest.MemberSets.Current) == 0 {
			highest = reply
		}
	}
	if len(highest.MemberSets.Current) == 0 {
		return highest, own
	}
	return highest, highest.MemberSets
}

// HasReadQuorum tells whether counted votes are a majority of each set of the highest
// word among them: then none that was acknowledged before they were asked for is
// higher. (DESIGN 6.5)
func HasReadQuorum(counted map[int]Reply, own MemberSets) bool {
	_, sets := HighestReply(counted, own)
	return sets.HasQuorum(counted)
}
