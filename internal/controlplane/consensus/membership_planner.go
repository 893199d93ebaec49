package consensus

import (
	"slices"
	"time"

	"curlewwalk/internal/config"
)

const (
	// maxObservationGap is the time since the last observation after which a planner counts as
	// having been suspended.
	maxObservationGap = 2 * time.Second
	// minMembers is the minimum size of a member set after a removal.
	minMembers = 3
)

// JoinRequest is a replica's request to the coordinator for membership.
type JoinRequest struct {
	DiskID uint64 `msgpack:"d"`
	Addr   string `msgpack:"a"`
	// Zone is the zone of the replica. It does not affect the planning.
	Zone string `msgpack:"l"`
	// Forwarded is set once a replica has forwarded the request to the coordinator. Such a
	// request is not forwarded again.
	Forwarded bool `msgpack:"p,omitempty"`
}

// MemberStatus is the coordinator's view of a member ID: the last known address of its replica
// and whether that replica is live.
type MemberStatus struct {
	Addr string
	Live bool
}

// MembershipPlanner decides for the coordinator which members join and which are removed. It is
// a pure value. Its times are relative to any fixed reference time. (DESIGN 6.5)
type MembershipPlanner struct {
	// RemovalDelay is the duration of absence after which a member may be removed.
	RemovalDelay time.Duration
	absentSince  map[int]time.Duration // by member ID, for members whose replica is not live
	lastObserved time.Duration
}

// Observe records which members are live. A planner that was suspended discards the absences
// recorded before, since it does not know whether they lasted.
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

// isGone reports whether a member has been absent for at least RemovalDelay.
func (p MembershipPlanner) isGone(memberID int, now time.Duration) bool {
	since, ok := p.absentSince[memberID]
	return ok && now-p.lastObserved <= maxObservationGap && now-since >= p.RemovalDelay
}

// PlanJoin returns the reconfiguration that makes a disk a member. It returns false if there is
// none at present. Each disk gets a member ID that was never used before. The disk replaces the
// member with the same address, whose own disk has been lost, or else a member that is gone. If
// there is neither, it is added to the set.
func (p MembershipPlanner) PlanJoin(request JoinRequest, acceptor Acceptor, statuses map[int]MemberStatus, now time.Duration) (Command, bool) {
	members := acceptor.MemberSets().Current
	if acceptor.StaticSize > 0 || len(members) == 0 {
		return Command{}, false // the set of static members is fixed
	}
	joining := config.Member{MemberID: max(acceptor.State.HighestMemberID, members[len(members)-1].MemberID) + 1, DiskID: request.DiskID, Addr: request.Addr}
	command := Command{Kind: CommandReconfigure, ExpectedMembers: members, Joining: joining}
	if joining.MemberID > maxMemberID || slices.ContainsFunc(members, func(m config.Member) bool { return m.DiskID == request.DiskID }) {
		return command, false
	}
	leaving, live := p.replacedBy(request, members, statuses, now)
	if leaving == 0 {
		// All members must be live for an addition: an absent member may soon return or count
		// as gone, in which case the disk replaces it.
		return command, live == len(members)
	}
	command.Leaving = leaving
	// The reconfiguration is not started if it could not be committed.
	return command, live >= Majority(len(members))
}

// replacedBy returns the ID of the member that a joining disk replaces, or zero for none, and
// the number of live members other than one at the disk's own address.
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

// PlanRemoval returns the reconfiguration that removes a member that is gone. It returns false
// if there is none at present. A member is removed only if the set has an even size or at least
// two of its members are gone, and if the live members are a majority of the set. Of several
// members that are gone, the one with the highest member ID is removed.
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

// PlanLeave returns the reconfiguration by which a member that is being stopped leaves a set of
// even size. It returns false if the member stays. A set of even size tolerates no more
// failures than the odd set without that member, and one fewer while the member is down. A
// member of a set of odd size stays, since it may return with its disk.
func PlanLeave(acceptor Acceptor) (Command, bool) {
	members := acceptor.MemberSets().Current
	even := len(members)%2 == 0 && len(members) > smallestSize(acceptor)
	if acceptor.StaticSize > 0 || !acceptor.IsMember() || !even || len(acceptor.MemberSets().Previous) > 0 {
		return Command{}, false
	}
	return Command{Kind: CommandReconfigure, ExpectedMembers: members, Leaving: acceptor.Self.MemberID}, true
}

// smallestSize returns the size below which the member set is not reduced.
func smallestSize(acceptor Acceptor) int { return max(minMembers, len(acceptor.InitialMembers)) }
