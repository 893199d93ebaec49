package simulation

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"curlewwalk/internal/controlplane/consensus"
)

// configuration is the state of the sequential model: one text, a generation that never
// falls, and the text that was put under that generation.
type configuration struct {
	generation     uint64
	text, numbered string
}

// sequential is the behaviour of the control plane if calls come one after the other. A
// lower generation than the current one is acknowledged and changes nothing, and so does a
// repeat of the current one with the same text.
var sequential = porcupine.Model{
	Init: func() any { return configuration{} },
	Step: func(state, input, _ any) (bool, any) {
		now, c := state.(configuration), input.(Call)
		switch {
		case !c.Write:
			return now.generation == c.Generation && now.text == c.Text, now
		case c.Generation == 0:
			return true, configuration{now.generation, c.Text, now.numbered}
		case c.Generation > now.generation:
			return true, configuration{c.Generation, c.Text, c.Text}
		case c.Generation == now.generation && !c.Open:
			return now.numbered == c.Text, now
		}
		return true, now
	},
}

// judgeTimeout bounds the search for an order of one history's calls. It is wall clock time: a
// busy machine gets less done in it, and more histories stay without a verdict.
const judgeTimeout = 6 * time.Second

// linearizable reports whether calls have an order in which each takes effect between its
// sending and its answer; Unknown if that was not found out in time. Open calls that no read
// shows are left out first, as if they had never taken effect: if there is an order without
// them, there is one. Only if there is none are they put back.
func linearizable(calls []Call) porcupine.CheckResult {
	calls = withoutDuplicates(withoutSuperseded(calls))
	result := checkLinearizable(withoutUnseen(calls))
	if result == porcupine.Illegal {
		return checkLinearizable(calls)
	}
	return result
}

// withoutSuperseded leaves out writes that change nothing in any order: before they were
// sent a higher generation was acknowledged, or they repeat what was acknowledged already.
func withoutSuperseded(calls []Call) []Call {
	superseded := func(c Call) bool {
		return slices.ContainsFunc(calls, func(before Call) bool {
			repeats := before.Write && before.Generation == c.Generation && before.Text == c.Text
			return !before.Open && before.To < c.From && (before.Generation > c.Generation || repeats)
		})
	}
	return slices.DeleteFunc(slices.Clone(calls), func(c Call) bool {
		return c.Write && c.Generation != 0 && superseded(c)
	})
}

// withoutDuplicates leaves out open writes of a generation and text that an earlier call has
// too: whenever such a copy takes effect, the earlier one may have done so.
func withoutDuplicates(calls []Call) (kept []Call) {
	type numbered struct {
		generation uint64
		text       string
	}
	earlier := map[numbered]bool{}
	for _, c := range calls { // in the order of sending
		key := numbered{c.Generation, c.Text}
		if c.Write && c.Open && c.Generation != 0 && earlier[key] {
			continue
		}
		earlier[key] = earlier[key] || c.Write
		kept = append(kept, c)
	}
	return kept
}

// withoutUnseen leaves out open writes whose text and generation no read shows.
func withoutUnseen(calls []Call) []Call {
	texts, generations := map[string]bool{}, map[uint64]bool{}
	for _, c := range calls {
		if !c.Write {
			texts[c.Text], generations[c.Generation] = true, true
		}
	}
	return slices.DeleteFunc(slices.Clone(calls), func(c Call) bool {
		seen := texts[c.Text] || c.Generation != 0 && generations[c.Generation]
		return c.Open && !seen
	})
}

// checkLinearizable searches for an order of calls.
func checkLinearizable(calls []Call) porcupine.CheckResult {
	var operations []porcupine.Operation
	for i, c := range calls {
		end := int64(c.To)
		if c.Open {
			end = latestEffect(calls, c)
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: c, Call: int64(c.From), Return: end})
	}
	return porcupine.CheckOperationsTimeout(sequential, operations, judgeTimeout)
}

// latestEffect is the latest moment at which an open write took effect: the end of the first
// read that shows it, if no other write has its text.
func latestEffect(calls []Call, write Call) int64 {
	latest, writers := int64(math.MaxInt64), 0
	for _, c := range calls {
		switch {
		case c.Text != write.Text:
		case c.Write:
			writers++
		default:
			latest = min(latest, int64(c.To))
		}
	}
	if writers > 1 {
		return math.MaxInt64
	}
	return latest
}

// The check of a history accepts what may happen and finds what must not.
func TestLinearizable(t *testing.T) {
	put := func(generation uint64, text string, from, to time.Duration) Call {
		return Call{Write: true, Generation: generation, Text: text, From: from, To: to}
	}
	read := func(generation uint64, text string, from, to time.Duration) Call {
		return Call{Generation: generation, Text: text, From: from, To: to}
	}
	open := put(0, "open", 4, 0)
	open.Open = true
	for _, test := range []struct {
		name  string
		calls []Call
		want  porcupine.CheckResult
	}{
		{"read after a write", []Call{put(0, "a", 1, 2), read(0, "a", 3, 4)}, porcupine.Ok},
		{"an old read", []Call{put(0, "a", 1, 2), put(0, "b", 3, 4), read(0, "a", 5, 6)}, porcupine.Illegal},
		{"a read that goes back", []Call{put(0, "a", 1, 2), put(0, "b", 3, 9), read(0, "b", 4, 5), read(0, "a", 6, 7)}, porcupine.Illegal},
		{"an open write that shows late", []Call{put(0, "a", 1, 2), open, read(0, "a", 5, 6), read(0, "open", 8, 9)}, porcupine.Ok},
		{"an open write that shows and is gone", []Call{put(0, "a", 1, 2), open, read(0, "open", 5, 6), read(0, "a", 8, 9)}, porcupine.Illegal},
		{"a read of what was never written", []Call{read(0, "a", 5, 6)}, porcupine.Illegal},
		{"a superseded generation", []Call{put(2, "b", 1, 2), put(1, "a", 3, 4), read(2, "b", 5, 6)}, porcupine.Ok},
		{"a repeat", []Call{put(2, "b", 1, 2), put(0, "c", 3, 4), put(2, "b", 5, 6), read(2, "c", 7, 8)}, porcupine.Ok},
		{"another text under the same generation", []Call{put(2, "b", 1, 2), put(2, "c", 3, 4)}, porcupine.Illegal},
		{"a superseded generation in force", []Call{put(2, "b", 1, 2), put(1, "a", 3, 4), read(1, "a", 5, 6)}, porcupine.Illegal},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := linearizable(test.calls); got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}

// A write that was rejected is taken out of the history.
func TestHistoryOfRejectedWrite(t *testing.T) {
	h := &History{}
	refused := h.put(consensus.Command{Payload: []byte("a")}, 1)
	h.answered(refused, consensus.OutcomeRejected, 2)
	if calls := h.Calls(); slices.ContainsFunc(calls, func(c Call) bool { return c.Write }) {
		t.Errorf("a rejected write is still there: %+v", calls)
	}
}

// historyCounts counts the histories that were checked, and those that took too long to check.
type historyCounts struct{ linearizable, unknown, calls int }

// check holds a run's history against the sequential model.
func (h *historyCounts) check(t *testing.T, seed uint64, sim *Consensus) {
	t.Helper()
	calls := sim.History.Calls()
	h.calls += len(calls)
	switch linearizable(calls) {
	case porcupine.Ok:
		h.linearizable++
	case porcupine.Unknown:
		h.unknown++
	default:
		t.Errorf("seed %d with %d members: the answers to operators fit no order of their calls", seed, sim.members)
	}
}

// checkJudged fails the test unless the histories were checked: for each oneIn of them one may
// have taken too long.
func (h *historyCounts) checkJudged(t *testing.T, oneIn int) {
	t.Helper()
	t.Logf("%d histories of %d calls are linearizable, %d were not judged in time", h.linearizable, h.calls, h.unknown)
	if h.linearizable == 0 || h.unknown > h.linearizable/oneIn {
		t.Error("the histories are not judged")
	}
}
