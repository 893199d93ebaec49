package simulation

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// recordCommitted checks the state that a replica considers committed, once per revision.
func (sim *Consensus) recordCommitted(r *replica) {
	acceptor := r.acceptor
	if acceptor.Committed != acceptor.Position.Revision || acceptor.Committed <= r.reported {
		return
	}
	r.reported = acceptor.Committed
	sim.trace(r, "considers revision %d committed", acceptor.Committed)
	sim.checkState(acceptor.State, fmt.Sprintf("member %d", r.acceptor.Self.MemberID))
}

// checkState checks a committed state that an observer has received. Each revision must have a
// single content, and generations must not decrease as revisions increase.
func (sim *Consensus) checkState(state config.ControlState, observer string) {
	encoded := fmt.Appendf(nil, "%s %v", state.Configuration, state.Members)
	if old, ok := sim.committed[state.Revision]; ok && !bytes.Equal(old, encoded) {
		sim.violation("%s has %q for revision %d, which was %q before", observer, encoded, state.Revision, old)
	}
	sim.committed[state.Revision] = encoded
	if state.Revision > sim.newestState.Revision {
		sim.countChange(state)
		sim.newestState = state
	}
	for revision, generation := range sim.generations {
		if revision <= state.Revision && generation > state.Generation || revision >= state.Revision && generation < state.Generation {
			sim.violation("%s has generation %d at revision %d, but generation %d was seen at revision %d", observer, state.Generation, state.Revision, generation, revision)
		}
	}
	sim.generations[state.Revision] = state.Generation
	sim.Operators.recordCommitted(state)
}

// describe returns the state of all replicas that were not removed, for violation messages.
func (sim *Consensus) describe() (s string) {
	for _, r := range sim.replicas {
		if !r.removed {
			acceptor := r.acceptor
			s += fmt.Sprintf("\n%s [%d/%x up=%v %s promised %d accepted %v committed %d members %v previous %v highest %d]", r.addr, acceptor.Self.MemberID, acceptor.Self.DiskID>>52, r.up, acceptor.Phase, acceptor.Promised, acceptor.Position, acceptor.Committed, consensus.MemberIDs(acceptor.MemberSets().Current), consensus.MemberIDs(acceptor.MemberSets().Previous), acceptor.State.HighestMemberID)
		}
	}
	return s
}

// trace passes a line about a replica's step to Trace.
func (sim *Consensus) trace(r *replica, format string, args ...any) {
	if sim.Trace != nil {
		sim.Trace(fmt.Sprintf("%12v %s member %d.%d/%x ", sim.now, r.addr, r.acceptor.Self.MemberID, r.acceptor.Self.Incarnation, r.acceptor.Self.DiskID>>52) + fmt.Sprintf(format, args...))
	}
}

func (sim *Consensus) violation(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// countChange counts a committed change of the member set by its kind.
func (sim *Consensus) countChange(state config.ControlState) {
	switch {
	case len(state.PreviousMembers) == 0:
	case len(state.Members) > len(state.PreviousMembers):
		sim.Grown++
	case len(state.Members) < len(state.PreviousMembers):
		sim.Shrunk++
	default:
		sim.Replaced++
	}
}

// disagreement describes what is wrong with the member set, or returns "". All replicas that
// were not removed must be members of the same set. A set of up to max(3, founders) members may
// lack a minority of them. A larger set may lack one member if its size is odd, and none if its
// size is even.
func (sim *Consensus) disagreement() string {
	var live, set []int
	sets := map[string]bool{}
	for _, r := range sim.replicas {
		if r.removed {
			continue
		}
		if !r.acceptor.IsMember() {
			return r.addr + " is not a member"
		}
		live = append(live, r.acceptor.Self.MemberID)
		set = consensus.MemberIDs(r.acceptor.MemberSets().Current)
		sets[fmt.Sprint(set)] = true
	}
	missing := 0
	for _, s := range set {
		if !slices.Contains(live, s) {
			missing++
		}
	}
	tolerated := len(set) % 2
	if len(set) <= max(3, sim.members) {
		tolerated = len(set) - consensus.Majority(len(set))
	}
	if len(sets) != 1 || missing > tolerated || len(live)+missing != len(set) {
		return fmt.Sprintf("%d members are missing in %v", missing, slices.Sorted(maps.Keys(sets)))
	}
	return ""
}
