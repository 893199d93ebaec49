package membership

import (
	"testing"
	"time"
)

// The duty goes to the first core in order that is live and able; to the first live one
// while none is able; and to no core that is not in the set.
func TestCoordinator(t *testing.T) {
	now := time.Now()
	members := []int{1, 2, 3}
	core := func(memberID int, unable bool) Replica {
		return Replica{MemberID: memberID, MemberCount: 3, Members: members, Addr: string(rune('a' + memberID)), MemberIncarnation: 1, Established: true, Ineligible: unable}
	}
	for name, c := range map[string]struct {
		own   Replica
		heard []Replica
		want  int
	}{
		"all able":                     {core(2, false), []Replica{core(1, false), core(3, false)}, 1},
		"first unable":                 {core(2, false), []Replica{core(1, true), core(3, false)}, 2},
		"first unable, seen by itself": {core(1, true), []Replica{core(2, false), core(3, false)}, 2},
		"two unable":                   {core(1, true), []Replica{core(2, true), core(3, false)}, 3},
		"none able":                    {core(2, true), []Replica{core(1, true), core(3, true)}, 1},
		"alone and unable":             {core(2, true), nil, 2},
		"no member":                    {core(4, false), []Replica{core(3, true), core(2, true)}, 2},
		"only others that are none":    {core(4, false), []Replica{core(5, false)}, 4},
	} {
		var table ReplicaTable
		for _, h := range c.heard {
			table = table.Observe(h, now)
		}
		if got := table.Coordinator(c.own, members, now); got.MemberID != c.want {
			t.Errorf("%s: %d has the duty, not %d", name, got.MemberID, c.want)
		}
		if got := table.Coordinator(c.own, members, now.Add(ReplicaTimeout)); got.MemberID != c.own.MemberID {
			t.Errorf("%s: %d has the duty when none is live", name, got.MemberID)
		}
	}
}

// A core that becomes unable is told anew: the mark of its seat tells of it.
func TestIneligibleChangesDigest(t *testing.T) {
	replica := Replica{MemberID: 1, Addr: "a", MemberIncarnation: 1, Established: true}
	able := replica.WithDigest()
	replica.Ineligible = true
	if able.Digest == replica.WithDigest().Digest {
		t.Error("the mark is the same")
	}
}
