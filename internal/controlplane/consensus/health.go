package consensus

import "time"

const (
	// maxWriteDuration is how long a write to disk may take before the disk counts as unhealthy.
	maxWriteDuration = 750 * time.Millisecond // (ours)
	// maxContactAge is how old the last contact with a majority may be.
	maxContactAge = 1500 * time.Millisecond // (ours)
	// suspensionGap is how long a replica, which ticks every tickInterval, may be still before
	// it counts as having been suspended.
	suspensionGap = 400 * time.Millisecond // (ours)
	// resumeGracePeriod is how long after that what arrives may have piled up meanwhile.
	resumeGracePeriod = 500 * time.Millisecond // (ours)
)

// Health is what a replica can do, judged by what it did last: whether its disk takes writes,
// and whether it reaches a majority. It is a pure value; times count from the replica's start.
// A replica whose heartbeats arrive, but that can't do both, must not stay the coordinator.
// (DESIGN 6.3)
type Health struct {
	writing           bool
	writeStarted      time.Duration // of the write under way, or the last one
	writeFailed       bool          // the last write failed, or took too long
	lastQuorumContact time.Duration // when the last contact with a majority began
	lastTick          time.Duration
	resumed           time.Duration // the first tick after a suspension; zero if there was none
}

// WriteStarted notes that a write to disk has begun.
func (h Health) WriteStarted(now time.Duration) Health {
	h.writing, h.writeStarted = true, now
	return h
}

// WriteEnded notes that it has ended. One that took too long counts as failed: the disk is
// healthy again once a write has ended in time.
func (h Health) WriteEnded(ok bool, now time.Duration) Health {
	h.writing, h.writeFailed = false, !ok || now-h.writeStarted > maxWriteDuration
	return h
}

// QuorumContacted notes that a majority has answered what was asked at a moment.
func (h Health) QuorumContacted(at time.Duration) Health {
	h.lastQuorumContact = max(h.lastQuorumContact, at)
	return h
}

// DiskHealthy reports whether the disk takes writes, as far as is known.
func (h Health) DiskHealthy(now time.Duration) bool {
	return !h.writeFailed && !(h.writing && now-h.writeStarted > maxWriteDuration)
}

// Connected reports whether a majority has answered lately.
func (h Health) Connected(now time.Duration) bool { return now-h.lastQuorumContact <= maxContactAge }

// Healthy reports whether the replica can do what a coordinator has to.
func (h Health) Healthy(now time.Duration) bool { return h.DiskHealthy(now) && h.Connected(now) }

// Ticked notes that the replica runs.
func (h Health) Ticked(now time.Duration) Health {
	if now-h.lastTick > suspensionGap {
		h.resumed = now
	}
	h.lastTick = now
	return h
}

// RecentlyResumed reports whether the process was suspended just now, so that what arrives may
// be old: its sender may have gone away, which is not known here yet.
func (h Health) RecentlyResumed(now time.Duration) bool {
	return now-h.lastTick > suspensionGap || h.resumed > 0 && now-h.resumed < resumeGracePeriod
}
