package simulation

import (
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// Call is an operator's call with what it was answered.
type Call struct {
	// Write puts Text under Generation (zero: without a number); else Text and Generation are
	// what was read.
	Write      bool
	Generation uint64
	Text       string
	// From and To are when it was sent and answered. An open one was never answered, or
	// without telling what became of it: it may be carried out at any time after From.
	From, To time.Duration
	Open     bool
}

// History records operators' calls.
type History struct{ calls []*Call }

// Calls lists what operators were told, and what is open.
func (h *History) Calls() (out []Call) {
	for _, c := range h.calls {
		out = append(out, *c)
	}
	return out
}

// put records that a configuration is put.
func (h *History) put(o consensus.Command, now time.Duration) *Call {
	c := &Call{Write: true, Generation: o.Generation, Text: string(o.Payload), From: now, Open: true}
	h.calls = append(h.calls, c)
	return c
}

// answered records what became of a put. One that was not taken never will be: it is
// struck from the history, so that a read which shows it has nothing to come from.
func (h *History) answered(c *Call, r consensus.Outcome, now time.Duration) {
	switch r {
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

// read records what a read that began at a moment shows.
func (h *History) read(from time.Duration, state config.ControlState, now time.Duration) {
	h.calls = append(h.calls, &Call{Generation: state.Generation, Text: string(state.Configuration), From: from, To: now})
}

// recorded is back, with what a configuration is answered kept in the history.
func (r *Register) recorded(o consensus.Command, back func(consensus.CommandResult)) func(consensus.CommandResult) {
	if o.Kind != consensus.CommandPutConfiguration {
		return back
	}
	call := r.History.put(o, r.now)
	return func(a consensus.CommandResult) {
		r.History.answered(call, a.Outcome, r.now)
		back(a)
	}
}
