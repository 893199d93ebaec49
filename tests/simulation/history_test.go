package simulation

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"curlewwalk/internal/controlplane/consensus"
)

// configuration is the state of the sequential model: the current text, the highest generation,
// and the text that was put with that generation.
type configuration struct {
	generation     uint64
	text, numbered string
}

// sequential models the control plane with one call at a time. A write with a generation lower
// than the current one is acknowledged and has no effect. The same holds for a write that
// repeats the current generation with the same text.
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

// searchTimeout limits the search for a linearization of one history. It is wall-clock time, so on
// a busy machine more histories end without a result.
const searchTimeout = 6 * time.Second

// linearizable reports whether calls are linearizable: there is an order in which each call takes
// effect between its start and its result. It returns Unknown if the search times out. The first
// search leaves out open writes that no read returned, as if they had not taken effect. An order
// found without them is sufficient. If there is none, a second search includes them.
func linearizable(calls []Call) porcupine.CheckResult {
	calls = withoutDuplicates(withoutSuperseded(calls))
	result := checkLinearizable(withoutUnobserved(calls))
	if result == porcupine.Illegal {
		return checkLinearizable(calls)
	}
	return result
}

// withoutSuperseded removes writes that have no effect in any order: a higher generation, or the
// same generation and text, was acknowledged before they were sent.
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

// withoutDuplicates removes open writes with the generation and text of an earlier write. Whenever
// the duplicate takes effect, the earlier write could have taken effect instead.
func withoutDuplicates(calls []Call) (kept []Call) {
	type numbered struct {
		generation uint64
		text       string
	}
	earlier := map[numbered]bool{}
	for _, c := range calls { // calls are in the order in which they were sent
		key := numbered{c.Generation, c.Text}
		if c.Write && c.Open && c.Generation != 0 && earlier[key] {
			continue
		}
		earlier[key] = earlier[key] || c.Write
		kept = append(kept, c)
	}
	return kept
}

// withoutUnobserved removes open writes whose text and generation no read returned.
func withoutUnobserved(calls []Call) []Call {
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

// checkLinearizable searches for a linearization of calls.
func checkLinearizable(calls []Call) porcupine.CheckResult {
	var operations []porcupine.Operation
	for i, c := range calls {
		end := int64(c.To)
		if c.Open {
			end = latestEffect(calls, c)
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: c, Call: int64(c.From), Return: end})
	}
	return porcupine.CheckOperationsTimeout(sequential, operations, searchTimeout)
}

// latestEffect returns the latest time at which an open write can have taken effect. This is the
// earliest end of a read that returned its text, unless several writes have that text.
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

// TestLinearizable guards against a history check that accepts stale, lost or invented results, or
// rejects correct ones. Each case is a history and the expected result of the check.
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
		{"stale read", []Call{put(0, "a", 1, 2), put(0, "b", 3, 4), read(0, "a", 5, 6)}, porcupine.Illegal},
		{"reads in decreasing order", []Call{put(0, "a", 1, 2), put(0, "b", 3, 9), read(0, "b", 4, 5), read(0, "a", 6, 7)}, porcupine.Illegal},
		{"open write that takes effect late", []Call{put(0, "a", 1, 2), open, read(0, "a", 5, 6), read(0, "open", 8, 9)}, porcupine.Ok},
		{"open write that is undone", []Call{put(0, "a", 1, 2), open, read(0, "open", 5, 6), read(0, "a", 8, 9)}, porcupine.Illegal},
		{"read of a text that was never written", []Call{read(0, "a", 5, 6)}, porcupine.Illegal},
		{"superseded generation", []Call{put(2, "b", 1, 2), put(1, "a", 3, 4), read(2, "b", 5, 6)}, porcupine.Ok},
		{"repeated write", []Call{put(2, "b", 1, 2), put(0, "c", 3, 4), put(2, "b", 5, 6), read(2, "c", 7, 8)}, porcupine.Ok},
		{"different text with the same generation", []Call{put(2, "b", 1, 2), put(2, "c", 3, 4)}, porcupine.Illegal},
		{"superseded generation takes effect", []Call{put(2, "b", 1, 2), put(1, "a", 3, 4), read(1, "a", 5, 6)}, porcupine.Illegal},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := linearizable(test.calls); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// TestHistoryOfRejectedWrite guards against a rejected write that stays in the history. A read that
// wrongly returns the text of such a write would then pass the check.
func TestHistoryOfRejectedWrite(t *testing.T) {
	h := &History{}
	refused := h.put(consensus.Command{Payload: []byte("a")}, 1)
	h.answered(refused, consensus.OutcomeRejected, 2)
	if calls := h.Calls(); slices.ContainsFunc(calls, func(c Call) bool { return c.Write }) {
		t.Errorf("got history %+v with a rejected write, want none", calls)
	}
}

// historyCounts counts the linearizable histories, the ones whose check timed out, and the calls
// in all histories.
type historyCounts struct{ linearizable, unknown, calls int }

// check checks the history of a simulation against the sequential model.
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
		t.Errorf("seed %d with %d members: the operators' calls are not linearizable", seed, sim.members)
	}
}

// checkCoverage fails the test if no history was found linearizable, or if more than one check timed
// out per oneIn linearizable histories.
func (h *historyCounts) checkCoverage(t *testing.T, oneIn int) {
	t.Helper()
	t.Logf("%d linearizable histories (%d calls in all histories), %d checks timed out", h.linearizable, h.calls, h.unknown)
	if h.linearizable == 0 || h.unknown > h.linearizable/oneIn {
		t.Error("too few histories were checked in time")
	}
}
