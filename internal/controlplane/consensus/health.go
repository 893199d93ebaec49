package consensus

import "time"

const (
	// maxWriteDuration is the duration of a write after which the disk counts as unhealthy.
	maxWriteDuration = 750 * time.Millisecond
	// maxContactAge is the maximum age of the last quorum contact of a replica that counts as
	// connected. A quorum contact is a quorum read by observeQuorum that a majority has
	// answered. Its age counts from the start of the read.
	maxContactAge = 1500 * time.Millisecond
	// suspensionGap is the time without a tick after which a replica, which normally ticks
	// every tickInterval, counts as having been suspended.
	suspensionGap = 400 * time.Millisecond
	// resumeGracePeriod is the time after a suspension for which the messages that the replica
	// processes may have arrived during the suspension.
	resumeGracePeriod = 500 * time.Millisecond
)

// Health describes whether a replica's disk accepts writes and whether the replica reaches a
// majority, based on its most recent operations. It is a pure value, and its times are relative
// to the replica's start. The zero value is healthy: the start counts as a quorum contact. A
// replica that fails either condition must not remain the coordinator, even if its heartbeats
// arrive. (DESIGN 6.3)
type Health struct {
	writing           bool
	writeStarted      time.Duration // start of the current or the last write
	writeFailed       bool          // the last write failed, or took too long
	lastQuorumContact time.Duration // when the last successful quorum contact began
	lastTick          time.Duration
	resumed           time.Duration // the first tick after a suspension; zero if there was none
}

// WriteStarted records the start of a write to disk.
func (h Health) WriteStarted(now time.Duration) Health {
	h.writing, h.writeStarted = true, now
	return h
}

// WriteEnded records the end of a write. A write that took longer than maxWriteDuration counts
// as failed. The disk is healthy again after a write that succeeds in time.
func (h Health) WriteEnded(ok bool, now time.Duration) Health {
	h.writing, h.writeFailed = false, !ok || now-h.writeStarted > maxWriteDuration
	return h
}

// QuorumContacted records that a majority has answered a request that was sent at a given time.
func (h Health) QuorumContacted(at time.Duration) Health {
	h.lastQuorumContact = max(h.lastQuorumContact, at)
	return h
}

// DiskHealthy reports whether the disk is known to accept writes.
func (h Health) DiskHealthy(now time.Duration) bool {
	return !h.writeFailed && !(h.writing && now-h.writeStarted > maxWriteDuration)
}

// Connected reports whether a majority has answered recently.
func (h Health) Connected(now time.Duration) bool { return now-h.lastQuorumContact <= maxContactAge }

// Healthy reports whether the replica meets the requirements for a coordinator.
func (h Health) Healthy(now time.Duration) bool { return h.DiskHealthy(now) && h.Connected(now) }

// Ticked records a tick. It detects a suspension by the time since the last tick.
func (h Health) Ticked(now time.Duration) Health {
	if now-h.lastTick > suspensionGap {
		h.resumed = now
	}
	h.lastTick = now
	return h
}

// RecentlyResumed reports whether the process has recently been suspended. Incoming requests
// may then be old: their senders may have disconnected, and the replica may not have detected
// that yet.
func (h Health) RecentlyResumed(now time.Duration) bool {
	return now-h.lastTick > suspensionGap || h.resumed > 0 && now-h.resumed < resumeGracePeriod
}
