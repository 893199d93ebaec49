package membership

import (
	"testing"
	"time"
)

// TestCoordinator checks that the coordinator is the eligible live member with the lowest ID, or
// the live member with the lowest ID if none is eligible. A replica that is not a member is never
// chosen while a member is live.
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
		"all eligible":                     {replica(2, false), []Replica{replica(1, false), replica(3, false)}, 1},
		"first ineligible":                 {replica(2, false), []Replica{replica(1, true), replica(3, false)}, 2},
		"own replica first but ineligible": {replica(1, true), []Replica{replica(2, false), replica(3, false)}, 2},
		"two ineligible":                   {replica(1, true), []Replica{replica(2, true), replica(3, false)}, 3},
		"none eligible":                    {replica(2, true), []Replica{replica(1, true), replica(3, true)}, 1},
		"only the own replica, ineligible": {replica(2, true), nil, 2},
		"own replica is not a member":      {replica(4, false), []Replica{replica(3, true), replica(2, true)}, 2},
		"no replica is a member":           {replica(4, false), []Replica{replica(5, false)}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			var table ReplicaTable
			for _, r := range c.observed {
				table = table.Observe(r, now)
			}
			if got := table.Coordinator(c.own, members, now); got.MemberID != c.want {
				t.Errorf("got coordinator %d, want %d", got.MemberID, c.want)
			}
			if got := table.Coordinator(c.own, members, now.Add(ReplicaTimeout)); got.MemberID != c.own.MemberID {
				t.Errorf("got coordinator %d while no other replica is live, want the own replica", got.MemberID)
			}
		})
	}
}

// TestIneligibleChangesDigest checks that a replica that becomes ineligible gets another digest.
// With the same digest, it would not send its new status.
func TestIneligibleChangesDigest(t *testing.T) {
	replica := Replica{MemberID: 1, Addr: "a", MemberIncarnation: 1, Established: true}
	eligible := replica.WithDigest()
	replica.Ineligible = true
	if eligible.Digest == replica.WithDigest().Digest {
		t.Error("digest unchanged after the replica became ineligible")
	}
}
