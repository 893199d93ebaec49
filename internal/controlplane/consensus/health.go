package consensus

import "time"

const (
	// syncWithin is how long a write to disk may take before its core counts as unable.
	syncWithin = 750 * time.Millisecond // (ours)
	// contactWithin is how old the last contact with a majority may be.
	contactWithin = 1500 * time.Millisecond // (ours)
	// wakeGap is how long a keeper, which ticks every tickEvery, may be still before it
	// counts as having slept.
	wakeGap = 400 * time.Millisecond // (ours)
	// wokenFor is how long after that what arrives may have piled up meanwhile.
	wokenFor = 500 * time.Millisecond // (ours)
)

// Health is what a core can still do, judged by what it did last: whether its disk
// takes writes, and whether it reaches a majority. It is a decision value; times count
// from the owner's start. A core that is only heard, but can't do both, must not keep
// the duty. (DESIGN 6.3)
type Health struct {
	writing   bool
	began     time.Duration // the write under way, or the last one
	failed    bool          // the last write failed, or took too long
	contacted time.Duration // when the last contact with a majority began
	seen      time.Duration // when the keeper's thread was seen to run
	woken     time.Duration // when it ran again after a gap; zero if it never slept
}

// WriteBegan takes that a write to disk has begun.
func (h Health) WriteBegan(now time.Duration) Health {
	h.writing, h.began = true, now
	return h
}

// WriteEnded takes that it has ended. One that took too long counts as failed: the
// core is able again once a write has ended in time.
func (h Health) WriteEnded(ok bool, now time.Duration) Health {
	h.writing, h.failed = false, !ok || now-h.began > syncWithin
	return h
}

// Contacted takes that a majority answered what was asked at a moment.
func (h Health) Contacted(at time.Duration) Health {
	h.contacted = max(h.contacted, at)
	return h
}

// Durable tells whether the disk takes writes, as far as is known.
func (h Health) Durable(now time.Duration) bool {
	return !h.failed && !(h.writing && now-h.began > syncWithin)
}

// Connected tells whether a majority answered lately.
func (h Health) Connected(now time.Duration) bool { return now-h.contacted <= contactWithin }

// Able tells whether the core can do what the duty asks for.
func (h Health) Able(now time.Duration) bool { return h.Durable(now) && h.Connected(now) }

// Seen takes that the keeper's thread runs.
func (h Health) Seen(now time.Duration) Health {
	if now-h.seen > wakeGap {
		h.woken = now
	}
	h.seen = now
	return h
}

// Woken tells whether the process was frozen just now, so that what arrives may be old:
// whoever sent it may have gone away, which is not known here yet.
func (h Health) Woken(now time.Duration) bool {
	return now-h.seen > wakeGap || h.woken > 0 && now-h.woken < wokenFor
}
