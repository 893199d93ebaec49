package simulation

import (
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// Call is an operator's call and its result.
type Call struct {
	// Write reports whether the call puts Text with Generation (zero if it has none). For a
	// read, Text and Generation are the result.
	Write      bool
	Generation uint64
	Text       string
	// From and To are the times of the call and of its result. An open call has no result,
	// or one that does not say whether the call took effect. It may take effect at any time
	// after From.
	From, To time.Duration
	Open     bool
}

// History records the operators' calls.
type History struct{ calls []*Call }

// Calls returns the completed and the open calls. Rejected writes are left out.
func (h *History) Calls() (out []Call) {
	for _, c := range h.calls {
		out = append(out, *c)
	}
	return out
}

// put records the start of a put of a configuration.
func (h *History) put(command consensus.Command, now time.Duration) *Call {
	c := &Call{Write: true, Generation: command.Generation, Text: string(command.Payload), From: now, Open: true}
	h.calls = append(h.calls, c)
	return c
}

// answered records the outcome of a put. A rejected put never takes effect, so it is removed from
// the history. A read that returns its configuration then fails the check.
func (h *History) answered(c *Call, outcome consensus.Outcome, now time.Duration) {
	switch outcome {
	case consensus.OutcomeCommitted:
		c.To, c.Open = now, false
	case consensus.OutcomeRejected, consensus.OutcomeMismatch, consensus.OutcomeConflict:
		for i := range h.calls {
			if h.calls[i] == c {
				h.calls = append(h.calls[:i:i], h.calls[i+1:]...)
				return
			}
		}
	}
}

// read records the result of a read that began at from.
func (h *History) read(from time.Duration, state config.ControlState, now time.Duration) {
	h.calls = append(h.calls, &Call{Generation: state.Generation, Text: string(state.Configuration), From: from, To: now})
}

// recordHistory records a put in the history and returns done wrapped so that it also records
// the outcome. It returns done unchanged for other commands.
func (sim *Consensus) recordHistory(command consensus.Command, done func(consensus.CommandResult)) func(consensus.CommandResult) {
	if command.Kind != consensus.CommandPutConfiguration {
		return done
	}
	call := sim.History.put(command, sim.now)
	return func(result consensus.CommandResult) {
		sim.History.answered(call, result.Outcome, sim.now)
		done(result)
	}
}
