package membership

import (
	"testing"
	"time"
)

// TestReplicaOutranks checks which of two replicas with the same member ID is the member: the one
// with the higher member incarnation, or, if these are equal, the one observed first while it is
// live.
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
		"same replica":       {Replica{Addr: "a", MemberIncarnation: 2}, 0, false},
		"same incarnation while the old one is live": {Replica{Addr: "b", MemberIncarnation: 2}, ReplicaTimeout - 1, true},
		"same incarnation after its timeout":         {Replica{Addr: "b", MemberIncarnation: 2}, ReplicaTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := old.outranks(c.other, now.Add(c.after)); got != c.want {
				t.Errorf("got outranks %v, want the opposite", got)
			}
		})
	}
}

// TestHasNewerMembers checks that members of a higher revision are newer. If the revisions are
// equal, listed members are newer than a mere number of members, and members known to be committed
// are newer than others.
func TestHasNewerMembers(t *testing.T) {
	listed := []int{1, 2, 3}
	known := Replica{MemberCount: 3, Members: listed, AcceptedRevision: 5, CommittedRevision: 4}
	for name, c := range map[string]struct {
		replica, other Replica
		want           bool
	}{
		"no known members":                       {Replica{MemberCount: 3}, Replica{}, true},
		"higher revision":                        {Replica{MemberCount: 3, Members: listed, AcceptedRevision: 6}, known, true},
		"lower revision":                         {Replica{MemberCount: 3, Members: listed, AcceptedRevision: 4, CommittedRevision: 4}, known, false},
		"equal":                                  {known, known, false},
		"only the new one known to be committed": {Replica{MemberCount: 3, Members: listed, AcceptedRevision: 5, CommittedRevision: 5}, known, true},
		"both known to be committed":             {Replica{MemberCount: 3, Members: listed, AcceptedRevision: 5, CommittedRevision: 6}, Replica{MemberCount: 3, Members: listed, AcceptedRevision: 5, CommittedRevision: 5}, false},
		"other has only the number of members":   {known, Replica{MemberCount: 3, AcceptedRevision: 5, CommittedRevision: 5}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.replica.hasNewerMembers(c.other); got != c.want {
				t.Errorf("got hasNewerMembers %v, want the opposite", got)
			}
		})
	}
}
