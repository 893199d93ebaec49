package consensus

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// liveMembers returns an acceptor with size initial members, and statuses that report all of
// them as live.
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

// observed returns a planner that has observed the same statuses for a time span, and the time
// of its last observation.
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

// A joining replica is added to the set while all members are live, replaces a member that is
// gone, and immediately replaces the member with its own address.
func TestMembershipPlannerPlansJoin(t *testing.T) {
	newAddr, sameAddr := JoinRequest{DiskID: 99, Addr: "z"}, JoinRequest{DiskID: 99, Addr: "b"}
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
		{name: "added to three", size: 3, observed: 3 * time.Second, request: newAddr, ok: true},
		{name: "added to one", size: 1, observed: 3 * time.Second, request: newAddr, ok: true},
		{name: "one absent, not yet gone", size: 3, dead: []int{2}, observed: 400 * time.Millisecond, request: newAddr},
		{name: "replaces the gone member", size: 3, dead: []int{2}, observed: 3 * time.Second, request: newAddr, leaving: 2, ok: true},
		{name: "replaces the member at its address", size: 3, dead: []int{2}, request: sameAddr, leaving: 2, ok: true},
		{name: "replaces the member at its address, reported live", size: 3, request: sameAddr, leaving: 2, ok: true},
		{name: "no live majority", size: 3, dead: []int{2, 3}, observed: 3 * time.Second, request: newAddr, leaving: 2},
		{name: "two of five gone", size: 5, dead: []int{2, 4}, observed: 3 * time.Second, request: newAddr, leaving: 2, ok: true},
		{name: "two of four gone", size: 4, dead: []int{2, 4}, observed: 3 * time.Second, request: newAddr, leaving: 2},
		{name: "already a member", size: 3, observed: 3 * time.Second, request: JoinRequest{DiskID: 3, Addr: "c"}},
		{name: "member IDs are not reused", size: 3, observed: 3 * time.Second, request: newAddr, highestID: 8, ok: true},
		{name: "static members", size: 3, observed: 3 * time.Second, request: newAddr, staticSize: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			acceptor, statuses := liveMembers(c.size)
			acceptor.State.HighestMemberID, acceptor.StaticSize = c.highestID, c.staticSize
			markDead(statuses, c.dead...)
			planner, now := observed(acceptor, statuses, c.observed)
			command, ok := planner.PlanJoin(c.request, acceptor, statuses, now)
			if ok != c.ok {
				t.Fatalf("PlanJoin() = %+v with unexpected ok %v", command, ok)
			}
			joining := config.Member{MemberID: max(c.size, c.highestID) + 1, DiskID: c.request.DiskID, Addr: c.request.Addr}
			if ok && (command.Leaving != c.leaving || command.Joining != joining || len(command.ExpectedMembers) != c.size) {
				t.Errorf("PlanJoin() = %+v, which has the wrong members", command)
			}
		})
	}
}

// A member that is gone is removed from a set of even size. From a set of odd size it is
// removed only if two members are gone. No removal is planned without a live majority, nor
// below three members or the number of initial members.
func TestMembershipPlannerPlansRemoval(t *testing.T) {
	for _, c := range []struct {
		name          string
		size, initial int
		dead          []int
		observed      time.Duration
		leaving       int
	}{
		{name: "one of four gone", size: 4, initial: 3, dead: []int{2}, observed: 3 * time.Second, leaving: 2},
		{name: "one of four absent, not yet gone", size: 4, initial: 3, dead: []int{2}, observed: 400 * time.Millisecond},
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
				t.Errorf("PlanRemoval() = %+v, %v, which does not match the case", command, ok)
			}
		})
	}
}

// A planner that was suspended treats no member as gone until it has observed the absence for
// RemovalDelay again.
func TestMembershipPlannerAfterSuspension(t *testing.T) {
	acceptor, statuses := liveMembers(4)
	acceptor.State.Members, acceptor.InitialMembers = acceptor.InitialMembers, acceptor.InitialMembers[:3]
	markDead(statuses, 2)
	planner, now := observed(acceptor, statuses, 500*time.Millisecond)
	now += 10 * time.Second
	if _, ok := planner.PlanRemoval(acceptor, now); ok {
		t.Error("removal planned from observations before the suspension")
	}
	planner = planner.Observe(acceptor.MemberSets().Current, statuses, now)
	if _, ok := planner.PlanRemoval(acceptor, now); ok {
		t.Error("removal planned immediately after the resumption")
	}
	now += time.Second
	planner = planner.Observe(acceptor.MemberSets().Current, statuses, now)
	if _, ok := planner.PlanRemoval(acceptor, now); !ok {
		t.Error("no removal planned after RemovalDelay")
	}
}

// A member that is being stopped leaves a set of even size, since that set tolerates no more
// failures than the odd set without it. It does not leave a set of odd size, the initial set,
// or a set of the minimum size.
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
		{name: "during a reconfiguration", size: 4, initial: 3, self: 1, reconfiguring: true},
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
				t.Errorf("PlanLeave() = %+v, %v, which does not match the case", command, ok)
			}
		})
	}
	static := Acceptor{StaticSize: 3, Phase: PhaseEstablished, Self: Sender{MemberID: 1, Incarnation: 1, DiskID: 1}}
	if _, ok := PlanLeave(static); ok {
		t.Error("PlanLeave() plans the leave of a static member")
	}
}
