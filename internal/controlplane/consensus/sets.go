package consensus

import (
	"cmp"
	"slices"

	"curlewwalk/internal/config"
)

// Sets are the sets of slots that decide: the one in force and, while a change
// of it is the newest change, the one before. (DESIGN 6.5)
type Sets struct {
	Now    []config.Member `msgpack:"n,omitempty" json:"now"`
	Before []config.Member `msgpack:"b,omitempty" json:"before,omitempty"`
}

// static is the set of n slots whose disks are told apart by incarnation.
func static(n int) []config.Member {
	var out []config.Member
	for s := 1; s <= n; s++ {
		out = append(out, config.Member{Slot: s})
	}
	return out
}

// each lists the sets that there are.
func (s Sets) each() [][]config.Member {
	if len(s.Before) > 0 {
		return [][]config.Member{s.Now, s.Before}
	}
	return [][]config.Member{s.Now}
}

// Union lists all members of any of the sets.
func (s Sets) Union() []config.Member { return union(s.Now, s.Before) }

func union(sets ...[]config.Member) []config.Member {
	out := slices.Concat(sets...)
	slices.SortFunc(out, func(a, b config.Member) int { return cmp.Or(cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.ID, b.ID)) })
	return slices.CompactFunc(out, same)
}

// same tells whether two are one disk in one slot.
func same(a, b config.Member) bool { return a.Slot == b.Slot && a.ID == b.ID }

// Slots lists the slots of a set.
func Slots(set []config.Member) []int {
	var out []int
	for _, m := range set {
		out = append(out, m.Slot)
	}
	return out
}

// has tells whether a set has a sender among its members.
func has(set []config.Member, f From) bool {
	return slices.ContainsFunc(set, func(m config.Member) bool { return m.Slot == f.Slot && (m.ID == 0 || m.ID == f.ID) })
}

// in counts the votes that came from members of a set.
func in(set []config.Member, votes map[int]Vote) int {
	n := 0
	for _, v := range votes {
		if has(set, v.From) {
			n++
		}
	}
	return n
}

// Quorum tells whether votes are a majority of each set.
func (s Sets) Quorum(votes map[int]Vote) bool {
	for _, set := range s.each() {
		if len(set) == 0 || in(set, votes) < Majority(len(set)) {
			return false
		}
	}
	return true
}

// reachable tells whether majorities of each set are left without some acceptors.
func (s Sets) reachable(without map[int]Vote) bool {
	for _, set := range s.each() {
		if len(set)-in(set, without) < Majority(len(set)) {
			return false
		}
	}
	return true
}

// Top finds the highest word among votes and its sets; own are those that the
// asker knows of, for votes that tell none.
func Top(votes map[int]Vote, own Sets) (top Vote, sets Sets) {
	for _, v := range votes {
		if c := top.Mark.Compare(v.Mark); c < 0 || c == 0 && len(top.Sets.Now) == 0 {
			top = v
		}
	}
	if len(top.Sets.Now) == 0 {
		return top, own
	}
	return top, top.Sets
}

// Complete tells whether counted votes are a majority of each set of the highest
// word among them: then none that was acknowledged before they were asked for is
// higher. (DESIGN 6.5)
func Complete(counted map[int]Vote, own Sets) bool {
	_, sets := Top(counted, own)
	return sets.Quorum(counted)
}
