package membership

import (
	"slices"
	"testing"
	"time"
)

func newReplica(memberID int, addr string, accepted uint64, members ...int) Replica {
	return Replica{
		MemberID: memberID, MemberCount: len(members), Addr: addr, MemberIncarnation: 1, Established: true,
		CommittedRevision: accepted, AcceptedRevision: accepted, Members: members,
	}
}

// The newest members that any replica sent are the ones that count. A former member is forgotten
// once it is silent, and gets no heartbeats any more.
func TestReplicaTableFollowsMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	var table ReplicaTable
	for i, a := range []string{"a", "b", "c"} {
		table = table.Observe(newReplica(i+1, a, 1, 1, 2, 3), now)
	}
	if table.QuorumLost(now) {
		t.Error("quorum lost though all are live")
	}
	// Member 2 is removed and 4 added; only one replica reports it, and reports 4.
	now = now.Add(2 * time.Second)
	table = table.Observe(newReplica(1, "a", 3, 1, 3, 4), now).AddReported([]Replica{newReplica(4, "d", 3, 1, 3, 4)}, now)
	table = table.Observe(newReplica(3, "c", 1, 1, 2, 3), now) // it does not know yet
	if members, _, accepted := table.Members(); !slices.Equal(members, []int{1, 3, 4}) || accepted != 3 {
		t.Errorf("members %v of revision %d", members, accepted)
	}
	if _, ok := table.Member(2); ok {
		t.Error("the removed member is still known")
	}
	if got := table.HeartbeatTargets("a", []string{"x"}, now); !slices.Equal(got, []string{"c", "d", "x"}) {
		t.Errorf("heartbeats to %v", got)
	}
	table = table.Observe(newReplica(4, "d", 3, 1, 3, 4), now)
	if got := table.HeartbeatTargets("a", []string{"x"}, now); !slices.Equal(got, []string{"c", "d"}) {
		t.Errorf("heartbeats to %v though all members are live", got)
	}
	// Two of the three members refuse: the third is no majority, whoever was member 2.
	table = table.Refused("c", now.Add(time.Millisecond)).Refused("d", now.Add(time.Millisecond))
	if !table.QuorumLost(now.Add(2 * time.Millisecond)) {
		t.Error("one of three is a majority")
	}
}

// While a change of members may not have been committed, both the new and the previous ones must
// have lost their majority before a sidecar goes on alone.
func TestQuorumLostOfBothMemberSets(t *testing.T) {
	now := time.Unix(1000, 0)
	replica := newReplica(1, "a", 1, 1, 2, 3, 4)
	replica.AcceptedRevision, replica.PreviousMembers = 2, []int{1, 2, 3}
	table := ReplicaTable{}.Observe(replica, now)
	for i, addr := range []string{"b", "c", "d"} {
		table = table.Observe(newReplica(i+2, addr, 1, 1, 2, 3), now)
	}
	later := now.Add(time.Millisecond)
	table = table.Refused("d", later).Refused("c", later)
	if table.QuorumLost(later) {
		t.Error("the previous members have a majority still")
	}
	table = table.Refused("b", later)
	if !table.QuorumLost(later) {
		t.Error("quorum not lost though neither members have a majority")
	}
}

// An older version sends the number of members only.
func TestMembersOfOlderVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	table := ReplicaTable{}.Observe(Replica{MemberID: 2, MemberCount: 3, Addr: "b", MemberIncarnation: 1}, now)
	if members, _, _ := table.Members(); !slices.Equal(members, []int{1, 2, 3}) {
		t.Errorf("members %v", members)
	}
}

// A revision counts as committed past as long as a replica that sent so is live: nothing follows
// from one that is silent.
func TestCommittedPast(t *testing.T) {
	now := time.Now()
	table := ReplicaTable{}.
		Observe(Replica{MemberID: 1, Addr: "a", MemberIncarnation: 1, CommittedRevision: 7}, now).
		Observe(Replica{MemberID: 2, Addr: "b", MemberIncarnation: 1, CommittedRevision: 9}, now.Add(-time.Second))
	for name, c := range map[string]struct {
		revision uint64
		after    time.Duration
		want     bool
	}{
		"below both":                       {6, 0, true},
		"below the highest":                {7, 0, true},
		"the highest":                      {9, 0, false},
		"its replica is not live any more": {7, ReplicaTimeout - time.Second, false},
		"below the one that is live":       {6, ReplicaTimeout - time.Second, true},
		"below both, none of which live":   {6, ReplicaTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := table.CommittedPast(c.revision, now.Add(c.after)); got != c.want {
				t.Errorf("past %d after %v: %v", c.revision, c.after, got)
			}
		})
	}
}
