package consensus

import "curlewwalk/internal/config"

// Outcome is the result of a command. The strings are sent over the wire. (DESIGN 6.3)
type Outcome string

const (
	// OutcomeCommitted means that a majority holds the result of the command, or held it until
	// it accepted a newer state. A command that has nothing to change has this outcome as well,
	// for example a configuration whose generation is below the newest one.
	OutcomeCommitted Outcome = "taken"
	// OutcomeMismatch means that the revision in IfMatch was not the newest one.
	OutcomeMismatch Outcome = "mismatch"
	// OutcomeConflict means that another configuration was committed under the command's
	// generation, so this one will never be committed.
	OutcomeConflict Outcome = "conflict"
	// OutcomeSuperseded means that another command on the same zone was committed after this
	// one was received, so this one no longer has an effect.
	OutcomeSuperseded Outcome = "overtaken"
	// OutcomeRejected means that the command was not committed and never will be.
	OutcomeRejected Outcome = "not-taken"
	// OutcomeUnknown means that the command may have been committed or may still be.
	OutcomeUnknown Outcome = "unknown"
)

// CommandResult is the response to a command. The ID is the one that the executing replica
// assigned to the command.
type CommandResult struct {
	ID      uint64  `msgpack:"i"`
	Outcome Outcome `msgpack:"r"`
	// State is the newest control state that the proposer knew when it determined the outcome.
	// It is empty if the command ended without being compared with a state, for example at its
	// deadline.
	State config.ControlState `msgpack:"w"`
}

// forSender returns the result to send to another replica. If the command requests revisions
// only, the state is reduced to its revisions and its generation.
func (r CommandResult) forSender(command Command) CommandResult {
	if state := r.State; command.RevisionsOnly {
		r.State = config.ControlState{
			Revision: state.Revision, ConfigurationRevision: state.ConfigurationRevision,
			CalendarRevision: state.CalendarRevision, Generation: state.Generation,
		}
	}
	return r
}
