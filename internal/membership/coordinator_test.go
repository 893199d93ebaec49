package membership

import (
	"testing"
	"time"
)

// The coordinator is the live and eligible member with the lowest ID, or the live one while none
// is eligible; a replica that is no member is none.
func TestCoordinator(t *testing.T) {
	now := time.Now()
	members := []int{1, 2, 3}
	replica := func(memberID int, ineligible bool) Replica {
		return Replica{
			MemberID: memberID, MemberCount: 3, Members: members, Addr: string(rune('a' + memberID)),
			MemberIncarnation: 1, Established: true, Ineligible: ineligible,
		}
	}
	for name, c := range map[string]struct {
		own      Replica
		observed []Replica
		want     int
	}{
		"all eligible":                      {replica(2, false), []Replica{replica(1, false), replica(3, false)}, 1},
		"first ineligible":                  {replica(2, false), []Replica{replica(1, true), replica(3, false)}, 2},
		"first ineligible, seen by itself":  {replica(1, true), []Replica{replica(2, false), replica(3, false)}, 2},
		"two ineligible":                    {replica(1, true), []Replica{replica(2, true), replica(3, false)}, 3},
		"none eligible":                     {replica(2, true), []Replica{replica(1, true), replica(3, true)}, 1},
		"alone and ineligible":              {replica(2, true), nil, 2},
		"asked by no member":                {replica(4, false), []Replica{replica(3, true), replica(2, true)}, 2},
		"only replicas that are no members": {replica(4, false), []Replica{replica(5, false)}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			var table ReplicaTable
			for _, r := range c.observed {
				table = table.Observe(r, now)
			}
			if got := table.Coordinator(c.own, members, now); got.MemberID != c.want {
				t.Errorf("the coordinator is %d, not %d", got.MemberID, c.want)
			}
			if got := table.Coordinator(c.own, members, now.Add(ReplicaTimeout)); got.MemberID != c.own.MemberID {
				t.Errorf("the coordinator is %d when no other is live", got.MemberID)
			}
		})
	}
}

// A replica that becomes ineligible sends its status again: the digest differs.
func TestIneligibleChangesDigest(t *testing.T) {
	replica := Replica{MemberID: 1, Addr: "a", MemberIncarnation: 1, Established: true}
	eligible := replica.WithDigest()
	replica.Ineligible = true
	if eligible.Digest == replica.WithDigest().Digest {
		t.Error("the digest is the same")
	}
}
