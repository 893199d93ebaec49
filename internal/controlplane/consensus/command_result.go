package consensus

import "curlewwalk/internal/config"

// Outcome is what became of a command. The strings go over the wire. (DESIGN 6.3)
type Outcome string

const (
	// OutcomeCommitted says that a majority holds what the command asked for, or held it before
	// something newer.
	OutcomeCommitted Outcome = "taken"
	// OutcomeMismatch says that the revision that the command was bound to was not the newest.
	OutcomeMismatch Outcome = "mismatch"
	// OutcomeConflict says that another configuration was committed under its generation, and
	// this one never will be.
	OutcomeConflict Outcome = "conflict"
	// OutcomeSuperseded says that another command on its zone was committed after it came, and
	// that it has no effect of its own any more.
	OutcomeSuperseded Outcome = "overtaken"
	// OutcomeRejected says that it surely never will be committed.
	OutcomeRejected Outcome = "not-taken"
	// OutcomeUnknown says that it may still be found and committed.
	OutcomeUnknown Outcome = "unknown"
)

// CommandResult answers a command.
type CommandResult struct {
	ID      uint64  `msgpack:"i"`
	Outcome Outcome `msgpack:"r"`
	// State is the newest control state of a committed command.
	State config.ControlState `msgpack:"w"`
}

// forSender is the result as another replica needs it: without all but the revisions and the
// generation of its state, if the command asked for no more.
func (r CommandResult) forSender(command Command) CommandResult {
	if state := r.State; command.RevisionsOnly {
		r.State = config.ControlState{
			Revision: state.Revision, ConfigurationRevision: state.ConfigurationRevision,
			CalendarRevision: state.CalendarRevision, Generation: state.Generation,
		}
	}
	return r
}
