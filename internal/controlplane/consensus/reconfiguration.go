package consensus

import (
	"slices"

	"curlewwalk/internal/config"
)

// applyReconfiguration makes the member sets of the next state, as a command asks for; what it
// does not change stays. Only one member joins or leaves at a time, or one replaces another.
// (DESIGN 6.5)
func applyReconfiguration(next config.ControlState, current []config.Member, command Command) config.ControlState {
	next.PreviousMembers = nil
	if command.Kind != CommandReconfigure {
		return next
	}
	next.PreviousMembers = current
	next.Members = slices.DeleteFunc(slices.Clone(current), func(m config.Member) bool { return m.MemberID == command.Leaving })
	if command.Joining.MemberID != 0 {
		next.Members = unionMembers(next.Members, []config.Member{command.Joining})
	}
	next.HighestMemberID = max(next.HighestMemberID, current[len(current)-1].MemberID, command.Joining.MemberID)
	return next
}

// finalizeReconfiguration is the state after one that changes the member set, without the
// previous set: once a majority of both holds the change, that of the previous one is not
// needed any more.
func finalizeReconfiguration(state config.ControlState) config.ControlState {
	state.Revision++
	state.PreviousMembers = nil
	return state
}

// resolveReconfiguration ends a reconfiguration that is done already, or that was decided on
// another member set than the current one; false if it has to be proposed.
func resolveReconfiguration(base config.ControlState, current []config.Member, command Command) (result CommandResult, resolved bool) {
	if command.Kind != CommandReconfigure {
		return CommandResult{}, false
	}
	result = CommandResult{ID: command.ID, Outcome: OutcomeCommitted, State: base}
	joining := command.Joining
	hasLeft := !slices.Contains(MemberIDs(current), command.Leaving)
	hasJoined := joining.MemberID == 0 || containsMember(current, joining)
	if hasLeft && hasJoined {
		return result, true
	}
	stale := !slices.EqualFunc(current, command.ExpectedMembers, sameMember)
	removesLast := len(current) == 1 && joining.MemberID == 0
	if stale || reusesMemberID(base, current, joining) || removesLast {
		result.Outcome = OutcomeRejected
		return result, true
	}
	return result, false
}

// reusesMemberID reports whether a joining member has an ID that another one may have had.
func reusesMemberID(base config.ControlState, current []config.Member, joining config.Member) bool {
	return joining.MemberID != 0 && joining.MemberID <= max(base.HighestMemberID, current[len(current)-1].MemberID)
}
