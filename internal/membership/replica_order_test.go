package membership

import (
	"testing"
	"time"
)

// Of two replicas that claim to be the same member the one with the higher member incarnation
// stays; in the same one, the one that was there first, as long as it is live.
func TestReplicaOutranks(t *testing.T) {
	now := time.Unix(1000, 0)
	old := observation{replica: Replica{MemberID: 1, Addr: "a", MemberIncarnation: 2}, at: now}
	for name, c := range map[string]struct {
		other Replica
		after time.Duration
		want  bool
	}{
		"lower incarnation":  {Replica{Addr: "b", MemberIncarnation: 1}, time.Hour, true},
		"higher incarnation": {Replica{Addr: "b", MemberIncarnation: 3}, 0, false},
		"itself again":       {Replica{Addr: "a", MemberIncarnation: 2}, 0, false},
		"same incarnation while the old one is live": {Replica{Addr: "b", MemberIncarnation: 2}, ReplicaTimeout - 1, true},
		"same incarnation after its time-out":        {Replica{Addr: "b", MemberIncarnation: 2}, ReplicaTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := old.outranks(c.other, now.Add(c.after)); got != c.want {
				t.Errorf("outranks: %v", got)
			}
		})
	}
}

// Members of a higher revision are newer; of the same, those that are listed, and then those that
// are known to be committed.
func TestHasNewerMembers(t *testing.T) {
	listed := []int{1, 2, 3}
	known := Replica{MemberCount: 3, Members: listed, AcceptedRevision: 5, CommittedRevision: 4}
	for name, c := range map[string]struct {
		replica, other Replica
		want           bool
	}{
		"nothing is known":                {Replica{MemberCount: 3}, Replica{}, true},
		"higher revision":                 {Replica{MemberCount: 3, Members: listed, AcceptedRevision: 6}, known, true},
		"lower revision":                  {Replica{MemberCount: 3, Members: listed, AcceptedRevision: 4, CommittedRevision: 4}, known, false},
		"the same":                        {known, known, false},
		"the same, known as committed":    {Replica{MemberCount: 3, Members: listed, AcceptedRevision: 5, CommittedRevision: 5}, known, true},
		"committed already":               {Replica{MemberCount: 3, Members: listed, AcceptedRevision: 5, CommittedRevision: 6}, Replica{MemberCount: 3, Members: listed, AcceptedRevision: 5, CommittedRevision: 5}, false},
		"after an older version's number": {known, Replica{MemberCount: 3, AcceptedRevision: 5, CommittedRevision: 5}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.replica.hasNewerMembers(c.other); got != c.want {
				t.Errorf("newer: %v", got)
			}
		})
	}
}
