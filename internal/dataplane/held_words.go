package dataplane

import (
	"slices"
	"sync/atomic"
	"time"
)

// heldFor is how long a word of leaving waits at most for a core to hold it, before it is
// acknowledged all the same. (ours)
const heldFor = 250 * time.Millisecond

// heldWords are words of leaving that are not acknowledged yet: each is once a core holds
// it, so that it outlives this process. The steward's thread owns them. (DESIGN 9.1)
type heldWords struct {
	words []heldWord
	// waiting tells other threads whether there are any.
	waiting atomic.Bool
}

// heldWord is one of them; rev is that of the first roster that has it.
type heldWord struct {
	rev         uint64
	until       time.Time
	acknowledge func()
}

// add holds a word.
func (h *heldWords) add(rev uint64, now time.Time, acknowledge func()) {
	h.words = append(h.words, heldWord{rev: rev, until: now.Add(heldFor), acknowledge: acknowledge})
	h.waiting.Store(true)
}

// heard acknowledges the words that a core holds, which has the node in a revision.
func (h *heldWords) heard(rev uint64) {
	h.release(func(w heldWord) bool { return w.rev <= rev })
}

// overdue acknowledges the words that have waited long enough.
func (h *heldWords) overdue(now time.Time) {
	h.release(func(w heldWord) bool { return !now.Before(w.until) })
}

func (h *heldWords) release(due func(w heldWord) bool) {
	h.words = slices.DeleteFunc(h.words, func(w heldWord) bool {
		if due(w) {
			w.acknowledge()
			return true
		}
		return false
	})
	h.waiting.Store(len(h.words) > 0)
}
