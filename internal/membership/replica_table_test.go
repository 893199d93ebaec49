package membership

import (
	"slices"
	"testing"
	"time"
)

func newReplica(memberID int, addr string, accepted uint64, members ...int) Replica {
	return Replica{MemberID: memberID, MemberCount: len(members), Addr: addr, MemberIncarnation: 1, Established: true, CommittedRevision: accepted, AcceptedRevision: accepted, Members: members}
}

// The newest set that any core told of is the one that counts; a struck slot's core
// is forgotten once it is silent, and its address is not heartbeated any more.
func TestReplicaTableFollowsMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	var table ReplicaTable
	for i, a := range []string{"a", "b", "c"} {
		table = table.Observe(newReplica(i+1, a, 1, 1, 2, 3), now)
	}
	if table.QuorumLost(now) {
		t.Error("all live and no majority")
	}
	// 2 goes, 4 comes; only one core tells it, and tells of 4.
	now = now.Add(2 * time.Second)
	table = table.Observe(newReplica(1, "a", 3, 1, 3, 4), now).AddReported([]Replica{newReplica(4, "d", 3, 1, 3, 4)}, now)
	table = table.Observe(newReplica(3, "c", 1, 1, 2, 3), now) // it has not heard yet
	if members, _, accepted := table.Members(); !slices.Equal(members, []int{1, 3, 4}) || accepted != 3 {
		t.Errorf("set %v of %d", members, accepted)
	}
	if _, ok := table.Member(2); ok {
		t.Error("the struck slot's core lingers")
	}
	if got := table.HeartbeatTargets("a", []string{"x"}, now); !slices.Equal(got, []string{"c", "d", "x"}) {
		t.Errorf("heartbeats to %v", got)
	}
	table = table.Observe(newReplica(4, "d", 3, 1, 3, 4), now)
	if got := table.HeartbeatTargets("a", []string{"x"}, now); !slices.Equal(got, []string{"c", "d"}) {
		t.Errorf("heartbeats to %v though all slots live", got)
	}
	// Two of the set refuse: the third is no majority, whoever sat in 2.
	table = table.Refused("c", now.Add(time.Millisecond)).Refused("d", now.Add(time.Millisecond))
	if !table.QuorumLost(now.Add(2 * time.Millisecond)) {
		t.Error("one of three is a majority")
	}
}

// While a change of the set may not have been settled, both sets must have lost their
// majority before a sidecar goes on alone.
func TestQuorumLostOfBothMemberSets(t *testing.T) {
	now := time.Unix(1000, 0)
	replica := newReplica(1, "a", 1, 1, 2, 3, 4)
	replica.AcceptedRevision, replica.PreviousMembers = 2, []int{1, 2, 3}
	table := ReplicaTable{}.Observe(replica, now).Observe(newReplica(2, "b", 1, 1, 2, 3), now).Observe(newReplica(3, "c", 1, 1, 2, 3), now).Observe(newReplica(4, "d", 1, 1, 2, 3), now)
	later := now.Add(time.Millisecond)
	table = table.Refused("d", later).Refused("c", later)
	if table.QuorumLost(later) {
		t.Error("the set before has a majority still")
	}
	table = table.Refused("b", later)
	if !table.QuorumLost(later) {
		t.Error("neither set has a majority")
	}
}

// An older version tells the number of slots only.
func TestMembersOfOlderVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	table := ReplicaTable{}.Observe(Replica{MemberID: 2, MemberCount: 3, Addr: "b", MemberIncarnation: 1}, now)
	if members, _, _ := table.Members(); !slices.Equal(members, []int{1, 2, 3}) {
		t.Errorf("set %v", members)
	}
}

// A word counts as settled past a stamp while a core that told so is live: of who can't be
// heard nothing follows.
func TestCommittedPast(t *testing.T) {
	now := time.Now()
	table := ReplicaTable{}.Observe(Replica{MemberID: 1, Addr: "a", MemberIncarnation: 1, CommittedRevision: 7}, now).Observe(Replica{MemberID: 2, Addr: "b", MemberIncarnation: 1, CommittedRevision: 9}, now.Add(-time.Second))
	for _, c := range []struct {
		stamp uint64
		after time.Duration
		want  bool
	}{{6, 0, true}, {7, 0, true}, {9, 0, false}, {7, ReplicaTimeout - time.Second, false}, {6, ReplicaTimeout - time.Second, true}, {6, ReplicaTimeout, false}} {
		if got := table.CommittedPast(c.stamp, now.Add(c.after)); got != c.want {
			t.Errorf("past %d after %v: %v", c.stamp, c.after, got)
		}
	}
}
