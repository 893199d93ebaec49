package consensus

import (
	"slices"

	"curlewwalk/internal/config"
)

// applyReconfiguration makes the sets of the next word, as an order asks for; what it does not
// change stays. Only one slot comes or goes at a time, or one comes for another.
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

// finalizeReconfiguration is a word that changes the set, without the set before: no majority of
// that one is needed any more once it holds the change.
func finalizeReconfiguration(state config.ControlState) config.ControlState {
	state.Revision++
	state.PreviousMembers = nil
	return state
}

// resolveReconfiguration ends an order for a change of the set that is done already, or that
// was decided on another set than the one in force.
func resolveReconfiguration(base config.ControlState, current []config.Member, command Command) (CommandResult, bool) {
	if command.Kind != CommandReconfigure {
		return CommandResult{}, false
	}
	result := CommandResult{ID: command.ID, Outcome: OutcomeCommitted, State: base}
	left := !slices.Contains(MemberIDs(current), command.Leaving)
	joined := command.Joining.MemberID == 0 || slices.ContainsFunc(current, func(m config.Member) bool { return sameMember(m, command.Joining) })
	switch {
	case left && joined:
		return result, true
	case !slices.EqualFunc(current, command.ExpectedMembers, sameMember), command.Joining.MemberID != 0 && command.Joining.MemberID <= max(base.HighestMemberID, current[len(current)-1].MemberID), len(current) == 1 && command.Joining.MemberID == 0:
		result.Outcome = OutcomeRejected
		return result, true
	}
	return result, false
}
