package consensus

import (
	"slices"

	"curlewwalk/internal/config"
)

// applyReconfiguration sets the member sets of the next state according to a command. The
// current set must not be empty and is sorted by member ID. A command of another kind leaves
// the current set unchanged and drops the previous set. At most one member joins and one leaves
// at a time. (DESIGN 6.5)
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

// finalizeReconfiguration returns the state that follows a committed reconfiguration and no
// longer has the previous member set. Once majorities of both sets hold the reconfiguration, a
// majority of the previous set is not needed any more.
func finalizeReconfiguration(state config.ControlState) config.ControlState {
	state.Revision++
	state.PreviousMembers = nil
	return state
}

// resolveReconfiguration returns the result of a reconfiguration that is already in effect or
// must be rejected. A reconfiguration is rejected if it was planned on another member set than
// the current one, if its joining member may reuse a member ID, or if it would remove the last
// member. resolveReconfiguration returns false if the reconfiguration has to be proposed.
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

// reusesMemberID reports whether the ID of a joining member may have been used before. The
// highest ID of the current set counts as well, since the state records none before the first
// reconfiguration.
func reusesMemberID(base config.ControlState, current []config.Member, joining config.Member) bool {
	return joining.MemberID != 0 && joining.MemberID <= max(base.HighestMemberID, current[len(current)-1].MemberID)
}
