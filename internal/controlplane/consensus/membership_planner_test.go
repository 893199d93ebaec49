package consensus

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// liveMembers is an acceptor of n members, and what the coordinator knows of them: all are
// live.
func liveMembers(size int) (Acceptor, map[int]MemberStatus) {
	acceptor := Acceptor{Phase: PhaseEstablished}
	statuses := map[int]MemberStatus{}
	for id := 1; id <= size; id++ {
		addr := string(rune('a' + id - 1))
		acceptor.InitialMembers = append(acceptor.InitialMembers, config.Member{MemberID: id, DiskID: uint64(id), Addr: addr})
		statuses[id] = MemberStatus{Addr: addr, Live: true}
	}
	acceptor.Self = Sender{MemberID: 1, Incarnation: 1, DiskID: 1}
	return acceptor, statuses
}

// observed is a planner that has observed the same statuses for a time.
func observed(acceptor Acceptor, statuses map[int]MemberStatus, span time.Duration) (MembershipPlanner, time.Duration) {
	planner := MembershipPlanner{RemovalDelay: time.Second}
	now := time.Second
	for end := now + span; now < end; now += 500 * time.Millisecond {
		planner = planner.Observe(acceptor.MemberSets().Current, statuses, now)
	}
	return planner.Observe(acceptor.MemberSets().Current, statuses, now), now
}

func markDead(statuses map[int]MemberStatus, memberIDs ...int) {
	for _, id := range memberIDs {
		statuses[id] = MemberStatus{Addr: statuses[id].Addr}
	}
}

// A replica that asks joins beside all others while they are live; replaces one that is gone;
// and replaces the one with its own address, at once.
func TestMembershipPlannerPlansJoin(t *testing.T) {
	stranger, sameAddr := JoinRequest{DiskID: 99, Addr: "z"}, JoinRequest{DiskID: 99, Addr: "b"}
	for _, c := range []struct {
		name       string
		size       int
		dead       []int
		observed   time.Duration
		request    JoinRequest
		highestID  int
		staticSize int
		leaving    int
		ok         bool
	}{
		{name: "beside all", size: 3, observed: 3 * time.Second, request: stranger, ok: true},
		{name: "beside one", size: 1, observed: 3 * time.Second, request: stranger, ok: true},
		{name: "one is silent, not yet gone", size: 3, dead: []int{2}, observed: 400 * time.Millisecond, request: stranger},
		{name: "instead of the gone one", size: 3, dead: []int{2}, observed: 3 * time.Second, request: stranger, leaving: 2, ok: true},
		{name: "at the lost disk's address", size: 3, dead: []int{2}, request: sameAddr, leaving: 2, ok: true},
		{name: "at the lost disk's address, which seems live", size: 3, request: sameAddr, leaving: 2, ok: true},
		{name: "no majority lives", size: 3, dead: []int{2, 3}, observed: 3 * time.Second, request: stranger, leaving: 2},
		{name: "two of five are gone", size: 5, dead: []int{2, 4}, observed: 3 * time.Second, request: stranger, leaving: 2, ok: true},
		{name: "two of four are gone", size: 4, dead: []int{2, 4}, observed: 3 * time.Second, request: stranger, leaving: 2},
		{name: "already a member", size: 3, observed: 3 * time.Second, request: JoinRequest{DiskID: 3, Addr: "c"}},
		{name: "a member ID is used once", size: 3, observed: 3 * time.Second, request: stranger, highestID: 8, ok: true},
		{name: "static members", size: 3, observed: 3 * time.Second, request: stranger, staticSize: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			acceptor, statuses := liveMembers(c.size)
			acceptor.State.HighestMemberID, acceptor.StaticSize = c.highestID, c.staticSize
			markDead(statuses, c.dead...)
			planner, now := observed(acceptor, statuses, c.observed)
			command, ok := planner.PlanJoin(c.request, acceptor, statuses, now)
			if ok != c.ok {
				t.Fatalf("%+v %v", command, ok)
			}
			joining := config.Member{MemberID: max(c.size, c.highestID) + 1, DiskID: c.request.DiskID, Addr: c.request.Addr}
			if ok && (command.Leaving != c.leaving || command.Joining != joining || len(command.ExpectedMembers) != c.size) {
				t.Errorf("%+v", command)
			}
		})
	}
}

// A set of even size removes a member that is gone, one of odd size only if two are; never
// without a majority, nor below three or the number of initial members.
func TestMembershipPlannerPlansRemoval(t *testing.T) {
	for _, c := range []struct {
		name          string
		size, initial int
		dead          []int
		observed      time.Duration
		leaving       int
	}{
		{name: "one of four gone", size: 4, initial: 3, dead: []int{2}, observed: 3 * time.Second, leaving: 2},
		{name: "one of four silent, not yet gone", size: 4, initial: 3, dead: []int{2}, observed: 400 * time.Millisecond},
		{name: "all of four live", size: 4, initial: 3, observed: 3 * time.Second},
		{name: "four initial members", size: 4, initial: 4, dead: []int{2}, observed: 3 * time.Second},
		{name: "two of four gone", size: 4, initial: 3, dead: []int{2, 3}, observed: 3 * time.Second},
		{name: "one of three gone", size: 3, initial: 1, dead: []int{2}, observed: 3 * time.Second},
		{name: "one of two gone", size: 2, initial: 1, dead: []int{2}, observed: 3 * time.Second},
		{name: "one of five gone", size: 5, initial: 3, dead: []int{2}, observed: 3 * time.Second},
		{name: "two of five gone", size: 5, initial: 3, dead: []int{2, 4}, observed: 3 * time.Second, leaving: 4},
		{name: "three of five gone", size: 5, initial: 3, dead: []int{2, 3, 4}, observed: 3 * time.Second},
		{name: "three of many gone", size: 31, initial: 3, dead: []int{2, 3, 4}, observed: 3 * time.Second, leaving: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			acceptor, statuses := liveMembers(c.size)
			acceptor.State.Members, acceptor.InitialMembers = acceptor.InitialMembers, acceptor.InitialMembers[:c.initial]
			markDead(statuses, c.dead...)
			planner, now := observed(acceptor, statuses, c.observed)
			if command, ok := planner.PlanRemoval(acceptor, now); ok != (c.leaving != 0) || command.Leaving != c.leaving {
				t.Errorf("%+v %v", command, ok)
			}
		})
	}
}

// A planner that was suspended takes no member for gone until it has observed for long
// enough.
func TestMembershipPlannerAfterSuspension(t *testing.T) {
	acceptor, statuses := liveMembers(4)
	acceptor.State.Members, acceptor.InitialMembers = acceptor.InitialMembers, acceptor.InitialMembers[:3]
	markDead(statuses, 2)
	planner, now := observed(acceptor, statuses, 500*time.Millisecond)
	now += 10 * time.Second
	if _, ok := planner.PlanRemoval(acceptor, now); ok {
		t.Error("removed by what it knew before it was suspended")
	}
	planner = planner.Observe(acceptor.MemberSets().Current, statuses, now)
	if _, ok := planner.PlanRemoval(acceptor, now); ok {
		t.Error("removed right after it resumed")
	}
	now += time.Second
	planner = planner.Observe(acceptor.MemberSets().Current, statuses, now)
	if _, ok := planner.PlanRemoval(acceptor, now); !ok {
		t.Error("does not remove after it has observed")
	}
}

// A member that stops leaves a set of even size, which bears no more losses than the odd one
// without it; a set of odd size, the initial one and the smallest stay as they are.
func TestPlanLeave(t *testing.T) {
	for _, c := range []struct {
		name                string
		size, initial, self int
		reconfiguring       bool
		leaves              bool
	}{
		{name: "first of four", size: 4, initial: 3, self: 1, leaves: true},
		{name: "last of four", size: 4, initial: 3, self: 4, leaves: true},
		{name: "of six", size: 6, initial: 3, self: 2, leaves: true},
		{name: "of three", size: 3, initial: 3, self: 1},
		{name: "of five", size: 5, initial: 3, self: 1},
		{name: "four initial members", size: 4, initial: 4, self: 1},
		{name: "of two", size: 2, initial: 1, self: 1},
		{name: "not a member", size: 4, initial: 3, self: 9},
		{name: "while a reconfiguration is under way", size: 4, initial: 3, self: 1, reconfiguring: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			acceptor, _ := liveMembers(c.size)
			acceptor.State.Members, acceptor.InitialMembers = acceptor.InitialMembers, acceptor.InitialMembers[:c.initial]
			acceptor.Self = Sender{MemberID: c.self, Incarnation: 1, DiskID: uint64(c.self)}
			if c.reconfiguring {
				acceptor.State.PreviousMembers = acceptor.State.Members[:3]
			}
			command, ok := PlanLeave(acceptor)
			if ok != c.leaves || ok && (command.Kind != CommandReconfigure || command.Leaving != c.self || command.Joining.MemberID != 0 || len(command.ExpectedMembers) != c.size) {
				t.Errorf("%+v %v", command, ok)
			}
		})
	}
	static := Acceptor{StaticSize: 3, Phase: PhaseEstablished, Self: Sender{MemberID: 1, Incarnation: 1, DiskID: 1}}
	if _, ok := PlanLeave(static); ok {
		t.Error("a static member leaves")
	}
}
