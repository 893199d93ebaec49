package simulation

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// recordCommitted checks each state that a replica takes for committed.
func (sim *Consensus) recordCommitted(r *replica) {
	acceptor := r.acceptor
	if acceptor.Committed != acceptor.Position.Revision || acceptor.Committed <= r.reported {
		return
	}
	r.reported = acceptor.Committed
	sim.trace(r, "takes revision %d for committed", acceptor.Committed)
	sim.checkState(acceptor.State, fmt.Sprintf("member %d", r.acceptor.Self.MemberID))
}

// checkState checks a committed state that an observer has seen: one revision has one content,
// and generations never fall.
func (sim *Consensus) checkState(state config.ControlState, observer string) {
	encoded := fmt.Appendf(nil, "%s %v", state.Configuration, state.Members)
	if old, ok := sim.committed[state.Revision]; ok && !bytes.Equal(old, encoded) {
		sim.violation("%s has %q for revision %d that was %q", observer, encoded, state.Revision, old)
	}
	sim.committed[state.Revision] = encoded
	if state.Revision > sim.newestState.Revision {
		sim.countChange(state)
		sim.newestState = state
	}
	for revision, generation := range sim.generations {
		if revision <= state.Revision && generation > state.Generation || revision >= state.Revision && generation < state.Generation {
			sim.violation("%s has generation %d at revision %d and there was %d at %d", observer, state.Generation, state.Revision, generation, revision)
		}
	}
	sim.generations[state.Revision] = state.Generation
	sim.Operators.recordCommitted(state)
}

// describe prints the state of all replicas, for the message of a violation.
func (sim *Consensus) describe() (s string) {
	for _, r := range sim.replicas {
		if !r.removed {
			acceptor := r.acceptor
			s += fmt.Sprintf("\n%s [%d/%x up=%v %s promised %d accepted %v committed %d members %v previous %v highest %d]", r.addr, acceptor.Self.MemberID, acceptor.Self.DiskID>>52, r.up, acceptor.Phase, acceptor.Promised, acceptor.Position, acceptor.Committed, consensus.MemberIDs(acceptor.MemberSets().Current), consensus.MemberIDs(acceptor.MemberSets().Previous), acceptor.State.HighestMemberID)
		}
	}
	return s
}

// trace writes a line on what a replica does.
func (sim *Consensus) trace(r *replica, format string, args ...any) {
	if sim.Trace != nil {
		sim.Trace(fmt.Sprintf("%12v %s member %d.%d/%x ", sim.now, r.addr, r.acceptor.Self.MemberID, r.acceptor.Self.Incarnation, r.acceptor.Self.DiskID>>52) + fmt.Sprintf(format, args...))
	}
}

func (sim *Consensus) violation(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// countChange counts changes of the member set.
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

// disagreement says what is still wrong with the member set, or "": all replicas that are up
// must be members of the same set, and no more of its members may be missing than an odd set
// tolerates.
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
