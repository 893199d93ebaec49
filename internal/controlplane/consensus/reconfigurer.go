package consensus

import (
	"slices"
	"time"

	"curlewwalk/internal/config"
)

const (
	// maxObservationGap is how long after its last look an usher has slept, not looked.
	maxObservationGap = 2 * time.Second // (ours)
	// minMembers is below what no set is shrunk.
	minMembers = 3
)

// JoinRequest is a core that asks for a seat.
type JoinRequest struct {
	DiskID uint64 `msgpack:"d"`
	Addr   string `msgpack:"a"`
	Zone   string `msgpack:"l"`
	// Forwarded is set once a core has passed it on to the one on duty.
	Forwarded bool `msgpack:"p,omitempty"`
}

// MemberStatus is a slot as the core on duty knows it: where its core was heard last.
type MemberStatus struct {
	Addr string
	Live bool
}

// Reconfigurer is a decision value: how the core on duty has the set of slots changed, for
// those who ask for a seat and those who are gone. (DESIGN 6.5)
type Reconfigurer struct {
	// RemovalDelay is how long a core may be without a sign of life before its slot goes.
	RemovalDelay time.Duration
	absentSince  map[int]time.Duration // since when a slot of the set has no live core
	lastObserved time.Duration
}

// Observe takes which slots of the set have live cores. One that slept knows of nobody
// for how long it was away.
func (r Reconfigurer) Observe(members []config.Member, statuses map[int]MemberStatus, now time.Duration) Reconfigurer {
	old := r.absentSince
	if r.lastObserved == 0 || now-r.lastObserved > maxObservationGap {
		old = nil
	}
	r.absentSince, r.lastObserved = map[int]time.Duration{}, now
	for _, m := range members {
		if statuses[m.MemberID].Live {
			continue
		}
		r.absentSince[m.MemberID] = now
		if at, ok := old[m.MemberID]; ok {
			r.absentSince[m.MemberID] = at
		}
	}
	return r
}

// isGone tells whether a slot has had no live core for long.
func (r Reconfigurer) isGone(memberID int, now time.Duration) bool {
	at, ok := r.absentSince[memberID]
	return ok && now-r.lastObserved <= maxObservationGap && now-at >= r.RemovalDelay
}

// PlanJoin finds the change of the set that gives an asker a slot. Each disk gets a slot
// never used before: instead of the one that this address had before its disk was
// lost; else instead of one whose core is gone; else beside all others.
func (r Reconfigurer) PlanJoin(request JoinRequest, acceptor Acceptor, statuses map[int]MemberStatus, now time.Duration) (Command, bool) {
	members := acceptor.MemberSets().Current
	if acceptor.StaticSize > 0 || len(members) == 0 {
		return Command{}, false // a system of static slots has none to give
	}
	command := Command{Kind: CommandReconfigure, ExpectedMembers: members, Joining: config.Member{MemberID: max(acceptor.State.HighestMemberID, members[len(members)-1].MemberID) + 1, DiskID: request.DiskID, Addr: request.Addr}}
	if command.Joining.MemberID > MaxMemberID || slices.ContainsFunc(members, func(m config.Member) bool { return m.DiskID == request.DiskID }) {
		return command, false
	}
	live, gone := 0, 0
	for _, m := range members {
		switch status := statuses[m.MemberID]; {
		case status.Addr == request.Addr || status.Addr == "" && m.Addr == request.Addr:
			command.Leaving = m.MemberID
		case status.Live:
			live++
		case gone == 0 && r.isGone(m.MemberID, now):
			gone = m.MemberID
		}
	}
	if command.Leaving == 0 {
		command.Leaving = gone
	}
	if command.Leaving == 0 {
		// Whoever is silent may be back, or gone, in a moment.
		return command, live == len(members)
	}
	// What can't be settled is not begun.
	return command, live >= Majority(len(members))
}

// PlanRemoval finds a slot to strike: one whose core is gone, when the set is of even
// size or two are gone, the live ones being a majority of what is left.
func (r Reconfigurer) PlanRemoval(acceptor Acceptor, now time.Duration) (Command, bool) {
	members := acceptor.MemberSets().Current
	if acceptor.StaticSize > 0 || len(members) <= max(minMembers, len(acceptor.InitialMembers)) {
		return Command{}, false
	}
	leaving, gone := 0, 0
	for _, m := range members {
		if r.isGone(m.MemberID, now) {
			leaving = m.MemberID
			gone++
		}
	}
	live := len(members) - len(r.absentSince)
	if gone == 0 || len(members)%2 == 1 && gone < 2 || live < Majority(len(members)) {
		return Command{}, false
	}
	return Command{Kind: CommandReconfigure, ExpectedMembers: members, Leaving: leaving}, true
}

// PlanLeave finds the change by which a member that is being stopped leaves an even set.
// Such a set bears no more losses than the odd one without that member, and while the
// member is away it bears one fewer. An odd set stays as it is: the member may be back
// with its disk.
func PlanLeave(acceptor Acceptor) (Command, bool) {
	members := acceptor.MemberSets().Current
	even := len(members)%2 == 0 && len(members) > max(minMembers, len(acceptor.InitialMembers))
	if acceptor.StaticSize > 0 || !acceptor.IsMember() || !even || len(acceptor.MemberSets().Previous) > 0 {
		return Command{}, false
	}
	return Command{Kind: CommandReconfigure, ExpectedMembers: members, Leaving: acceptor.Self.MemberID}, true
}
