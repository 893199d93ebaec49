package consensus

import (
	"slices"
	"time"

	"curlewwalk/internal/config"
)

const (
	// maxObservationGap is how long after its last observation a planner counts as having
	// been suspended.
	maxObservationGap = 2 * time.Second // (ours)
	// minMembers is the smallest member set that a removal leaves.
	minMembers = 3
)

// JoinRequest asks the coordinator for membership.
type JoinRequest struct {
	DiskID uint64 `msgpack:"d"`
	Addr   string `msgpack:"a"`
	Zone   string `msgpack:"l"`
	// Forwarded is set once a replica has forwarded it to the coordinator.
	Forwarded bool `msgpack:"p,omitempty"`
}

// MemberStatus is what the coordinator knows of a member ID: where its replica was seen last,
// and whether that is live.
type MemberStatus struct {
	Addr string
	Live bool
}

// MembershipPlanner decides for the coordinator which members join and which are removed. It is a
// pure value; times count from any fixed moment. (DESIGN 6.5)
type MembershipPlanner struct {
	// RemovalDelay is how long a member may be absent before it may be removed.
	RemovalDelay time.Duration
	absentSince  map[int]time.Duration // by the ID of a member whose replica is not live
	lastObserved time.Duration
}

// Observe takes which members are live. A planner that was suspended does not know of any
// how long it was absent.
func (p MembershipPlanner) Observe(members []config.Member, statuses map[int]MemberStatus, now time.Duration) MembershipPlanner {
	previous := p.absentSince
	if p.lastObserved == 0 || now-p.lastObserved > maxObservationGap {
		previous = nil
	}
	p.absentSince, p.lastObserved = map[int]time.Duration{}, now
	for _, m := range members {
		if statuses[m.MemberID].Live {
			continue
		}
		p.absentSince[m.MemberID] = now
		if since, ok := previous[m.MemberID]; ok {
			p.absentSince[m.MemberID] = since
		}
	}
	return p
}

// isGone reports whether a member has been absent for long.
func (p MembershipPlanner) isGone(memberID int, now time.Duration) bool {
	since, ok := p.absentSince[memberID]
	return ok && now-p.lastObserved <= maxObservationGap && now-since >= p.RemovalDelay
}

// PlanJoin finds the reconfiguration that makes a disk a member; false if there is none now.
// Each disk gets a member ID never used before. It replaces the member that had its address
// before its disk was lost, else one that is gone, else it joins beside all others.
func (p MembershipPlanner) PlanJoin(request JoinRequest, acceptor Acceptor, statuses map[int]MemberStatus, now time.Duration) (Command, bool) {
	members := acceptor.MemberSets().Current
	if acceptor.StaticSize > 0 || len(members) == 0 {
		return Command{}, false // static members don't come and go
	}
	joining := config.Member{MemberID: max(acceptor.State.HighestMemberID, members[len(members)-1].MemberID) + 1, DiskID: request.DiskID, Addr: request.Addr}
	command := Command{Kind: CommandReconfigure, ExpectedMembers: members, Joining: joining}
	if joining.MemberID > maxMemberID || slices.ContainsFunc(members, func(m config.Member) bool { return m.DiskID == request.DiskID }) {
		return command, false
	}
	leaving, live := p.replacedBy(request, members, statuses, now)
	if leaving == 0 {
		// A member that is silent may be back, or gone, in a moment.
		return command, live == len(members)
	}
	command.Leaving = leaving
	// What can't be committed is not begun.
	return command, live >= Majority(len(members))
}

// replacedBy is the ID of the member that a joining disk replaces, zero for none, and the
// number of live members apart from one at the disk's own address.
func (p MembershipPlanner) replacedBy(request JoinRequest, members []config.Member, statuses map[int]MemberStatus, now time.Duration) (leaving, live int) {
	gone := 0
	for _, m := range members {
		switch status := statuses[m.MemberID]; {
		case status.Addr == request.Addr || status.Addr == "" && m.Addr == request.Addr:
			leaving = m.MemberID
		case status.Live:
			live++
		case gone == 0 && p.isGone(m.MemberID, now):
			gone = m.MemberID
		}
	}
	if leaving == 0 {
		leaving = gone
	}
	return leaving, live
}

// PlanRemoval finds the reconfiguration that removes a member that is gone; false if there is
// none now. The set must be of even size or two of its members gone, and the live ones a
// majority of what is left.
func (p MembershipPlanner) PlanRemoval(acceptor Acceptor, now time.Duration) (Command, bool) {
	members := acceptor.MemberSets().Current
	if acceptor.StaticSize > 0 || len(members) <= smallestSize(acceptor) {
		return Command{}, false
	}
	leaving, gone := 0, 0
	for _, m := range members {
		if p.isGone(m.MemberID, now) {
			leaving = m.MemberID
			gone++
		}
	}
	live := len(members) - len(p.absentSince)
	if gone == 0 || len(members)%2 == 1 && gone < 2 || live < Majority(len(members)) {
		return Command{}, false
	}
	return Command{Kind: CommandReconfigure, ExpectedMembers: members, Leaving: leaving}, true
}

// PlanLeave finds the reconfiguration by which a member that is being stopped leaves a set of
// even size; false if it stays. Such a set bears no more losses than the odd one without that
// member, and one fewer while the member is away. A set of odd size stays as it is: the member
// may be back with its disk.
func PlanLeave(acceptor Acceptor) (Command, bool) {
	members := acceptor.MemberSets().Current
	even := len(members)%2 == 0 && len(members) > smallestSize(acceptor)
	if acceptor.StaticSize > 0 || !acceptor.IsMember() || !even || len(acceptor.MemberSets().Previous) > 0 {
		return Command{}, false
	}
	return Command{Kind: CommandReconfigure, ExpectedMembers: members, Leaving: acceptor.Self.MemberID}, true
}

// smallestSize is the size below which no member set is reduced.
func smallestSize(acceptor Acceptor) int { return max(minMembers, len(acceptor.InitialMembers)) }
