package simulation

import (
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// Call is an operator's call with its answer.
type Call struct {
	// Write is set if the call puts Text under Generation (zero: without one); otherwise
	// both are what was read.
	Write      bool
	Generation uint64
	Text       string
	// From and To are when the call was sent and answered. An open call has no answer, or
	// none that says what became of it: it may take effect at any time after From.
	From, To time.Duration
	Open     bool
}

// History records operators' calls.
type History struct{ calls []*Call }

// Calls lists the calls that were answered and those that are open.
func (h *History) Calls() (out []Call) {
	for _, c := range h.calls {
		out = append(out, *c)
	}
	return out
}

// put records that a configuration is put.
func (h *History) put(command consensus.Command, now time.Duration) *Call {
	c := &Call{Write: true, Generation: command.Generation, Text: string(command.Payload), From: now, Open: true}
	h.calls = append(h.calls, c)
	return c
}

// answered records the outcome of a put. One that was rejected never takes effect: it is taken
// out, so that a read which shows it has no write to come from.
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

// read records what a read that began at a moment returned.
func (h *History) read(from time.Duration, state config.ControlState, now time.Duration) {
	h.calls = append(h.calls, &Call{Generation: state.Generation, Text: string(state.Configuration), From: from, To: now})
}

// recordHistory wraps done so that the outcome of a put is recorded.
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
