package consensus

import "time"

const (
	// maxWriteDuration is how long a write to disk may take before its core counts as unable.
	maxWriteDuration = 750 * time.Millisecond // (ours)
	// maxContactAge is how old the last contact with a majority may be.
	maxContactAge = 1500 * time.Millisecond // (ours)
	// suspensionGap is how long a keeper, which ticks every tickEvery, may be still before it
	// counts as having slept.
	suspensionGap = 400 * time.Millisecond // (ours)
	// resumeGracePeriod is how long after that what arrives may have piled up meanwhile.
	resumeGracePeriod = 500 * time.Millisecond // (ours)
)

// Health is what a core can still do, judged by what it did last: whether its disk
// takes writes, and whether it reaches a majority. It is a decision value; times count
// from the owner's start. A core that is only heard, but can't do both, must not keep
// the duty. (DESIGN 6.3)
type Health struct {
	writing           bool
	writeStarted      time.Duration // the write under way, or the last one
	writeFailed       bool          // the last write failed, or took too long
	lastQuorumContact time.Duration // when the last contact with a majority began
	lastTick          time.Duration // when the keeper's thread was seen to run
	resumed           time.Duration // when it ran again after a gap; zero if it never slept
}

// WriteStarted takes that a write to disk has begun.
func (h Health) WriteStarted(now time.Duration) Health {
	h.writing, h.writeStarted = true, now
	return h
}

// WriteEnded takes that it has ended. One that took too long counts as failed: the
// core is able again once a write has ended in time.
func (h Health) WriteEnded(ok bool, now time.Duration) Health {
	h.writing, h.writeFailed = false, !ok || now-h.writeStarted > maxWriteDuration
	return h
}

// QuorumContacted takes that a majority answered what was asked at a moment.
func (h Health) QuorumContacted(at time.Duration) Health {
	h.lastQuorumContact = max(h.lastQuorumContact, at)
	return h
}

// DiskHealthy tells whether the disk takes writes, as far as is known.
func (h Health) DiskHealthy(now time.Duration) bool {
	return !h.writeFailed && !(h.writing && now-h.writeStarted > maxWriteDuration)
}

// Connected tells whether a majority answered lately.
func (h Health) Connected(now time.Duration) bool { return now-h.lastQuorumContact <= maxContactAge }

// Healthy tells whether the core can do what the duty asks for.
func (h Health) Healthy(now time.Duration) bool { return h.DiskHealthy(now) && h.Connected(now) }

// Ticked takes that the keeper's thread runs.
func (h Health) Ticked(now time.Duration) Health {
	if now-h.lastTick > suspensionGap {
		h.resumed = now
	}
	h.lastTick = now
	return h
}

// RecentlyResumed tells whether the process was frozen just now, so that what arrives may be old:
// whoever sent it may have gone away, which is not known here yet.
func (h Health) RecentlyResumed(now time.Duration) bool {
	return now-h.lastTick > suspensionGap || h.resumed > 0 && now-h.resumed < resumeGracePeriod
}
