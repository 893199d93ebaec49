package consensus

import (
	"slices"

	"curlewwalk/internal/config"
)

// applyCommand returns the state that results from applying a command, except for the member
// sets. The given state is not modified.
func applyCommand(state config.ControlState, command Command) config.ControlState {
	state.Revision++
	state.EvacuatedByOperator, state.Closures = slices.Clone(state.EvacuatedByOperator), slices.Clone(state.Closures)
	switch command.Kind {
	case CommandPutConfiguration:
		return putConfiguration(state, command)
	case CommandPutCalendar:
		state.Calendar, state.CalendarRevision = command.Payload, state.Revision
	case CommandEvacuate:
		state = revokeEvacuation(state, command.Zone)
		state.EvacuatedByOperator = append(state.EvacuatedByOperator, command.Zone)
		slices.Sort(state.EvacuatedByOperator)
		state = state.WithEvacuation(command.Zone)
	case CommandRevokeEvacuation:
		state = revokeEvacuation(state, command.Zone)
		for i := range state.Closures {
			// The closure stays on record so that its window is not begun again.
			state.Closures[i].Waived = state.Closures[i].Waived || state.Closures[i].Zone == command.Zone
		}
		state = state.WithEvacuation(command.Zone) // records the revocation as well
	case CommandBeginWindow:
		state.Closures = append(state.Closures, config.ZoneClosure{Zone: command.Zone, Window: command.Window})
	case CommandRecordDepartures:
		state = state.WithDepartures(command.Departed)
	case CommandEndWindow:
		state.Closures = slices.DeleteFunc(state.Closures, func(c config.ZoneClosure) bool { return c.Window == command.Window })
	}
	return state
}

// putConfiguration replaces the configuration, and also the generation if the new one has a
// number.
func putConfiguration(state config.ControlState, command Command) config.ControlState {
	state.Configuration, state.ConfigurationRevision, state.Submitted = command.Payload, state.Revision, nil
	if command.Generation != 0 {
		state.Generation, state.Submitted, state.AcceptedGenerations = command.Generation, command.Submitted, state.AppendGeneration(command.Generation, command.Digest)
	}
	return state
}

// revokeEvacuation removes a zone from the zones that the operator has evacuated.
func revokeEvacuation(state config.ControlState, zone string) config.ControlState {
	state.EvacuatedByOperator = slices.DeleteFunc(state.EvacuatedByOperator, func(z string) bool { return z == zone })
	return state
}
