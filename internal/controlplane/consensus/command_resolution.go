package consensus

import (
	"bytes"
	"slices"

	"curlewwalk/internal/config"
)

// resolveWithoutWrite ends a command that needs no write to the newest state, which is
// committed; false if it has to be proposed.
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
	case command.Kind == CommandBeginWindow && base.HasClosure(command.Window), command.Kind == CommandEndWindow && !base.HasClosure(command.Window):
		return result, true // an earlier coordinator has done it
	case command.isNumbered() && command.Generation <= base.Generation:
		result.Outcome = repeatedGeneration(base, command)
		return result, true
	case command.isNumbered() && proposed && command.IfMatch == nil:
		// Generations never fall, so it was not committed, and a state under a later term
		// stands in its way for good: it is proposed once more.
		return result, false
	case command.SinceRevision != nil && proposed && command.IfMatch == nil:
		return result, false // it is not on record, so it was not committed, as above
	case proposed && base.Revision > command.proposedAt.Revision:
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

// isNumbered reports whether the command puts a configuration under an operator's generation.
func (c Command) isNumbered() bool {
	return c.Kind == CommandPutConfiguration && c.Generation != 0
}

// conditionHolds reports whether the revision that the command is bound to is the newest one.
func (c Command) conditionHolds(base config.ControlState) bool {
	switch {
	case c.IfMatch == nil:
		return true
	case c.Kind == CommandPutCalendar:
		return *c.IfMatch == base.CalendarRevision
	}
	return *c.IfMatch == base.ConfigurationRevision
}

// repeatedGeneration is the outcome of a configuration whose generation is not above the
// newest one: the bytes that were committed under it are acknowledged again, others are
// refused, and a generation that was skipped, or committed too long ago to be on record, is
// acknowledged and changes nothing. The base is committed, so no later state can say
// otherwise. (DESIGN 6.3)
func repeatedGeneration(base config.ControlState, command Command) Outcome {
	if same, known := base.LookupGeneration(command.Generation, command.Digest); known && !same {
		return OutcomeConflict
	}
	return OutcomeCommitted
}

// supersededEvacuation ends a command on a zone if another one, or this one, was committed
// for that zone since it came. One that asked for the same makes it good as well; one that
// asked for the opposite is newer, and stays. (DESIGN 6.3)
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

// satisfies reports whether a state is what the command asked for.
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
	case CommandReconfigure:
		return false // resolveReconfiguration decides that
	}
	return !slices.Contains(state.EvacuatedZones(), command.Zone)
}
