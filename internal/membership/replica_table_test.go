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

// TestReplicaTableFollowsMembers checks that the table uses the newest members that any replica
// sent. A former member is removed once it is no longer live, and then receives no heartbeats.
func TestReplicaTableFollowsMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	var table ReplicaTable
	for i, a := range []string{"a", "b", "c"} {
		table = table.Observe(newReplica(i+1, a, 1, 1, 2, 3), now)
	}
	if table.QuorumLost(now) {
		t.Error("quorum lost although all replicas are live")
	}
	// Member 2 is removed and member 4 added. Only replica 1 has these members, and it reports
	// replica 4.
	now = now.Add(2 * time.Second)
	table = table.Observe(newReplica(1, "a", 3, 1, 3, 4), now).AddReported([]Replica{newReplica(4, "d", 3, 1, 3, 4)}, now)
	table = table.Observe(newReplica(3, "c", 1, 1, 2, 3), now) // replica 3 does not have the new members yet
	if members, _, accepted := table.Members(); !slices.Equal(members, []int{1, 3, 4}) || accepted != 3 {
		t.Errorf("got members %v of revision %d, want [1 3 4] of revision 3", members, accepted)
	}
	if _, ok := table.Member(2); ok {
		t.Error("the removed member is still observed")
	}
	if got := table.HeartbeatTargets("a", []string{"x"}, now); !slices.Equal(got, []string{"c", "d", "x"}) {
		t.Errorf("got heartbeat targets %v, want [c d x]", got)
	}
	table = table.Observe(newReplica(4, "d", 3, 1, 3, 4), now)
	if got := table.HeartbeatTargets("a", []string{"x"}, now); !slices.Equal(got, []string{"c", "d"}) {
		t.Errorf("got heartbeat targets %v while all members are live, want [c d]", got)
	}
	// Two of the three members refuse connections. The third one is no majority, even together with
	// former member 2.
	table = table.RecordRefusal("c", now.Add(time.Millisecond)).RecordRefusal("d", now.Add(time.Millisecond))
	if !table.QuorumLost(now.Add(2 * time.Millisecond)) {
		t.Error("quorum not lost although only one of three members is left")
	}
}

// TestQuorumLostOfBothMemberSets checks that, while a change of members may not have been
// committed, the quorum counts as lost only if both the new and the previous members have lost
// their majority. Only then may a sidecar continue without the control plane.
func TestQuorumLostOfBothMemberSets(t *testing.T) {
	now := time.Unix(1000, 0)
	replica := newReplica(1, "a", 1, 1, 2, 3, 4)
	replica.AcceptedRevision, replica.PreviousMembers = 2, []int{1, 2, 3}
	table := ReplicaTable{}.Observe(replica, now)
	for i, addr := range []string{"b", "c", "d"} {
		table = table.Observe(newReplica(i+2, addr, 1, 1, 2, 3), now)
	}
	later := now.Add(time.Millisecond)
	table = table.RecordRefusal("d", later).RecordRefusal("c", later)
	if table.QuorumLost(later) {
		t.Error("quorum lost although the previous members still have a majority")
	}
	table = table.RecordRefusal("b", later)
	if !table.QuorumLost(later) {
		t.Error("quorum not lost although neither member set has a majority")
	}
}

// TestMembersOfOlderVersions checks that the number of members, which is all that older versions
// send, yields the member IDs.
func TestMembersOfOlderVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	table := ReplicaTable{}.Observe(Replica{MemberID: 2, MemberCount: 3, Addr: "b", MemberIncarnation: 1}, now)
	if members, _, _ := table.Members(); !slices.Equal(members, []int{1, 2, 3}) {
		t.Errorf("got members %v, want [1 2 3]", members)
	}
}

// TestHasCommittedAbove checks that a higher revision counts as committed only while a replica that
// reported it is live. Reports of a replica that is no longer live are ignored.
func TestHasCommittedAbove(t *testing.T) {
	now := time.Now()
	table := ReplicaTable{}.
		Observe(Replica{MemberID: 1, Addr: "a", MemberIncarnation: 1, CommittedRevision: 7}, now).
		Observe(Replica{MemberID: 2, Addr: "b", MemberIncarnation: 1, CommittedRevision: 9}, now.Add(-time.Second))
	for name, c := range map[string]struct {
		revision uint64
		after    time.Duration
		want     bool
	}{
		"below both":                     {6, 0, true},
		"below the highest":              {7, 0, true},
		"equal to the highest":           {9, 0, false},
		"its replica is no longer live":  {7, ReplicaTimeout - time.Second, false},
		"below that of the live replica": {6, ReplicaTimeout - time.Second, true},
		"no live replica":                {6, ReplicaTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := table.HasCommittedAbove(c.revision, now.Add(c.after)); got != c.want {
				t.Errorf("HasCommittedAbove(%d) after %v: got %v, want the opposite", c.revision, c.after, got)
			}
		})
	}
}
