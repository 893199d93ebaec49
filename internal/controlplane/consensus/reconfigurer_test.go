package consensus

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// liveMembers is an acceptor of n members, and what the coordinator knows of them: all are
// live.
func liveMembers(n int) (Acceptor, map[int]MemberStatus) {
	acceptor := Acceptor{Phase: PhaseEstablished}
	statuses := map[int]MemberStatus{}
	for id := 1; id <= n; id++ {
		addr := string(rune('a' + id - 1))
		acceptor.InitialMembers = append(acceptor.InitialMembers, config.Member{MemberID: id, DiskID: uint64(id), Addr: addr})
		statuses[id] = MemberStatus{Addr: addr, Live: true}
	}
	acceptor.Self = Sender{MemberID: 1, Incarnation: 1, DiskID: 1}
	return acceptor, statuses
}

// observed is a reconfigurer that has observed the same statuses for a time.
func observed(acceptor Acceptor, statuses map[int]MemberStatus, span time.Duration) (Reconfigurer, time.Duration) {
	reconfigurer := Reconfigurer{RemovalDelay: time.Second}
	now := time.Second
	for end := now + span; now < end; now += 500 * time.Millisecond {
		reconfigurer = reconfigurer.Observe(acceptor.MemberSets().Current, statuses, now)
	}
	return reconfigurer.Observe(acceptor.MemberSets().Current, statuses, now), now
}

func markDead(statuses map[int]MemberStatus, memberIDs ...int) {
	for _, id := range memberIDs {
		statuses[id] = MemberStatus{Addr: statuses[id].Addr}
	}
}

// A replica that asks joins beside all others while they are live; replaces one that is gone;
// and replaces the one with its own address, at once.
func TestReconfigurerPlansJoin(t *testing.T) {
	stranger, sameAddr := JoinRequest{DiskID: 99, Addr: "z"}, JoinRequest{DiskID: 99, Addr: "b"}
	for _, c := range []struct {
		name   string
		of     int
		dead   []int
		span   time.Duration
		asker  JoinRequest
		out    int
		ok     bool
		top    int
		static int
	}{
		{"beside all", 3, nil, 3 * time.Second, stranger, 0, true, 0, 0},
		{"beside one", 1, nil, 3 * time.Second, stranger, 0, true, 0, 0},
		{"one is silent, not yet gone", 3, []int{2}, 400 * time.Millisecond, stranger, 0, false, 0, 0},
		{"instead of the gone one", 3, []int{2}, 3 * time.Second, stranger, 2, true, 0, 0},
		{"at the lost disk's address", 3, []int{2}, 0, sameAddr, 2, true, 0, 0},
		{"at the lost disk's address, which seems live", 3, nil, 0, sameAddr, 2, true, 0, 0},
		{"no majority lives", 3, []int{2, 3}, 3 * time.Second, stranger, 2, false, 0, 0},
		{"two of five are gone", 5, []int{2, 4}, 3 * time.Second, stranger, 2, true, 0, 0},
		{"two of four are gone", 4, []int{2, 4}, 3 * time.Second, stranger, 2, false, 0, 0},
		{"already a member", 3, nil, 3 * time.Second, JoinRequest{DiskID: 3, Addr: "c"}, 0, false, 0, 0},
		{"a member ID is used once", 3, nil, 3 * time.Second, stranger, 0, true, 8, 0},
		{"static members", 3, nil, 3 * time.Second, stranger, 0, false, 0, 3},
	} {
		acceptor, statuses := liveMembers(c.of)
		acceptor.State.HighestMemberID, acceptor.StaticSize = c.top, c.static
		markDead(statuses, c.dead...)
		reconfigurer, now := observed(acceptor, statuses, c.span)
		command, ok := reconfigurer.PlanJoin(c.asker, acceptor, statuses, now)
		if ok != c.ok || ok && (command.Leaving != c.out || command.Joining.MemberID != max(c.of, c.top)+1 || command.Joining.DiskID != c.asker.DiskID || command.Joining.Addr != c.asker.Addr || len(command.ExpectedMembers) != c.of) {
			t.Errorf("%s: %+v %v", c.name, command, ok)
		}
	}
}

// A set of even size removes a member that is gone, one of odd size only if two are; never
// without a majority, nor below three or the number of initial members.
func TestReconfigurerPlansRemoval(t *testing.T) {
	for _, c := range []struct {
		of, founders int
		dead         []int
		span         time.Duration
		out          int
	}{
		{4, 3, []int{2}, 3 * time.Second, 2},
		{4, 3, []int{2}, 400 * time.Millisecond, 0},
		{4, 3, nil, 3 * time.Second, 0},
		{4, 4, []int{2}, 3 * time.Second, 0},
		{4, 3, []int{2, 3}, 3 * time.Second, 0},
		{3, 1, []int{2}, 3 * time.Second, 0},
		{2, 1, []int{2}, 3 * time.Second, 0},
		{5, 3, []int{2}, 3 * time.Second, 0},
		{5, 3, []int{2, 4}, 3 * time.Second, 4},
		{5, 3, []int{2, 3, 4}, 3 * time.Second, 0},
		{31, 3, []int{2, 3, 4}, 3 * time.Second, 4},
	} {
		acceptor, statuses := liveMembers(c.of)
		acceptor.State.Members, acceptor.InitialMembers = acceptor.InitialMembers, acceptor.InitialMembers[:c.founders]
		markDead(statuses, c.dead...)
		reconfigurer, now := observed(acceptor, statuses, c.span)
		if command, ok := reconfigurer.PlanRemoval(acceptor, now); ok != (c.out != 0) || command.Leaving != c.out {
			t.Errorf("%+v: %+v %v", c, command, ok)
		}
	}
}

// A reconfigurer that was suspended takes no member for gone until it has observed for long
// enough.
func TestReconfigurerAfterSuspension(t *testing.T) {
	acceptor, statuses := liveMembers(4)
	acceptor.State.Members, acceptor.InitialMembers = acceptor.InitialMembers, acceptor.InitialMembers[:3]
	markDead(statuses, 2)
	reconfigurer, now := observed(acceptor, statuses, 500*time.Millisecond)
	now += 10 * time.Second
	if _, ok := reconfigurer.PlanRemoval(acceptor, now); ok {
		t.Error("removed by what it knew before it was suspended")
	}
	reconfigurer = reconfigurer.Observe(acceptor.MemberSets().Current, statuses, now)
	if _, ok := reconfigurer.PlanRemoval(acceptor, now); ok {
		t.Error("removed right after it resumed")
	}
	now += time.Second
	reconfigurer = reconfigurer.Observe(acceptor.MemberSets().Current, statuses, now)
	if _, ok := reconfigurer.PlanRemoval(acceptor, now); !ok {
		t.Error("does not remove after it has observed")
	}
}

// A member that stops leaves a set of even size, which bears no more losses than the odd one
// without it; a set of odd size, the initial one and the smallest stay as they are.
func TestPlanLeave(t *testing.T) {
	for _, c := range []struct {
		of, founders, self int
		before             bool
		leaves             bool
	}{
		{of: 4, founders: 3, self: 1, leaves: true},
		{of: 4, founders: 3, self: 4, leaves: true},
		{of: 6, founders: 3, self: 2, leaves: true},
		{of: 3, founders: 3, self: 1},
		{of: 5, founders: 3, self: 1},
		{of: 4, founders: 4, self: 1},
		{of: 2, founders: 1, self: 1},
		{of: 4, founders: 3, self: 9}, // no member
		{of: 4, founders: 3, self: 1, before: true},
	} {
		acceptor, _ := liveMembers(c.of)
		acceptor.State.Members, acceptor.InitialMembers = acceptor.InitialMembers, acceptor.InitialMembers[:c.founders]
		acceptor.Self = Sender{MemberID: c.self, Incarnation: 1, DiskID: uint64(c.self)}
		if c.before {
			acceptor.State.PreviousMembers = acceptor.State.Members[:3]
		}
		command, ok := PlanLeave(acceptor)
		if ok != c.leaves || ok && (command.Kind != CommandReconfigure || command.Leaving != c.self || command.Joining.MemberID != 0 || len(command.ExpectedMembers) != c.of) {
			t.Errorf("%+v: %+v %v", c, command, ok)
		}
	}
	static := Acceptor{StaticSize: 3, Phase: PhaseEstablished, Self: Sender{MemberID: 1, Incarnation: 1, DiskID: 1}}
	if _, ok := PlanLeave(static); ok {
		t.Error("a static member leaves")
	}
}
