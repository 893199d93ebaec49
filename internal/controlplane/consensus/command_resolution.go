package consensus

import (
	"bytes"
	"slices"

	"curlewwalk/internal/config"
)

// resolveWithoutWrite returns the result of a command that needs no write to base, the newest
// state, which is committed. It returns false if the command has to be proposed.
func resolveWithoutWrite(base config.ControlState, command Command) (result CommandResult, resolved bool) {
	result = CommandResult{ID: command.ID, Outcome: OutcomeCommitted, State: base}
	if outcome, superseded := supersededEvacuation(base, command); superseded {
		result.Outcome = outcome
		return result, true
	}
	proposed := command.proposedAt.Revision != 0
	switch {
	case command.Kind == CommandRefresh:
		return result, true
	case command.Kind == CommandRecordDepartures && base.HaveDeparted(command.Departed):
		return result, true // another replica has recorded them
	case command.Kind == CommandBeginWindow && base.HasClosure(command.Window), command.Kind == CommandEndWindow && !base.HasClosure(command.Window):
		return result, true // an earlier coordinator has committed it
	case command.isNumbered() && command.Generation <= base.Generation:
		result.Outcome = repeatedGeneration(base, command)
		return result, true
	case command.isNumbered() && proposed && command.IfMatch == nil:
		// Generations never decrease, so the command was not committed. A state under a later
		// term prevents the earlier proposal from being committed. The command is proposed
		// again.
		return result, false
	case command.SinceRevision != nil && proposed && command.IfMatch == nil:
		// The record of commands on zones does not show the command, so it was not committed. It
		// is proposed again, as above.
		return result, false
	case proposed && base.Revision > command.proposedAt.Revision:
		// The base does not show whether the state at the revision of the proposal was that of
		// the command or another one.
		result.Outcome = OutcomeUnknown
		return result, true
	case proposed && base.Revision == command.proposedAt.Revision && satisfies(base, command):
		return result, true
	case !command.conditionHolds(base):
		result.Outcome = OutcomeMismatch
		return result, true
	}
	return result, false
}

// isNumbered reports whether the command stores a configuration under an operator's generation.
func (c Command) isNumbered() bool {
	return c.Kind == CommandPutConfiguration && c.Generation != 0
}

// conditionHolds reports whether the command is unconditional or its IfMatch is the newest
// revision.
func (c Command) conditionHolds(base config.ControlState) bool {
	switch {
	case c.IfMatch == nil:
		return true
	case c.Kind == CommandPutCalendar:
		return *c.IfMatch == base.CalendarRevision
	}
	return *c.IfMatch == base.ConfigurationRevision
}

// repeatedGeneration returns the outcome of a configuration whose generation is not above the
// newest one. The bytes that were committed under that generation are acknowledged again, and
// other bytes are rejected as a conflict. A generation that was skipped, or was committed too
// long ago to be on record, is acknowledged without a change. The outcome is final because base
// is committed, so no later state can contradict it. (DESIGN 6.3)
func repeatedGeneration(base config.ControlState, command Command) Outcome {
	if same, known := base.LookupGeneration(command.Generation, command.Digest); known && !same {
		return OutcomeConflict
	}
	return OutcomeCommitted
}

// supersededEvacuation returns the outcome of a command on a zone if that command or another
// one on the zone was committed since it was received. A later command with the same effect
// makes it count as committed. A later command with the opposite effect is newer and remains in
// effect. (DESIGN 6.3)
func supersededEvacuation(base config.ControlState, command Command) (outcome Outcome, superseded bool) {
	onZone := command.Kind == CommandEvacuate || command.Kind == CommandRevokeEvacuation
	if command.SinceRevision == nil || !onZone || !command.conditionHolds(base) {
		return "", false
	}
	revision, known := base.EvacuationRevision(command.Zone)
	switch {
	case revision <= *command.SinceRevision:
		return "", false
	case known && slices.Contains(base.EvacuatedByOperator, command.Zone) == (command.Kind == CommandEvacuate):
		return OutcomeCommitted, true
	}
	return OutcomeSuperseded, true
}

// satisfies reports whether a state is the result that the command requests.
func satisfies(state config.ControlState, command Command) bool {
	switch command.Kind {
	case CommandPutConfiguration:
		return state.ConfigurationRevision == state.Revision && bytes.Equal(state.Configuration, command.Payload) && (command.Generation == 0 || state.Generation == command.Generation)
	case CommandPutCalendar:
		return state.CalendarRevision == state.Revision && bytes.Equal(state.Calendar, command.Payload)
	case CommandEvacuate:
		return slices.Contains(state.EvacuatedByOperator, command.Zone)
	case CommandBeginWindow:
		return state.HasClosure(command.Window)
	case CommandEndWindow:
		return !state.HasClosure(command.Window)
	case CommandRecordDepartures:
		return state.HaveDeparted(command.Departed)
	case CommandReconfigure:
		return false // reconfigurations are resolved by resolveReconfiguration
	}
	return !slices.Contains(state.EvacuatedZones(), command.Zone) // CommandRevokeEvacuation
}
