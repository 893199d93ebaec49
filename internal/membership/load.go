package membership

import (
	"sync/atomic"
	"time"
)

// Load is what this node knows of how busy a backend is.
type Load struct {
	// Attempts counts our own attempts now open there.
	Attempts atomic.Int64
	// told is what the far sidecar said with its last response.
	told atomic.Int64
	// toldAt is when it did, after born.
	toldAt atomic.Int64
	// shunned is until when, after born, the target is left out.
	shunned atomic.Int64
}

var born = time.Now()

// toldFor is how long a told load is worth something.
const toldFor = 300 * time.Millisecond // (ours)

// Tell takes the number of requests that the far sidecar had open.
func (l *Load) Tell(open int) {
	l.told.Store(int64(open))
	l.toldAt.Store(int64(time.Since(born)))
}

// Busy estimates the open requests at the backend.
func (l *Load) Busy() int64 {
	if time.Since(born)-time.Duration(l.toldAt.Load()) > toldFor {
		return l.Attempts.Load()
	}
	return max(l.told.Load(), l.Attempts.Load())
}

// Shun leaves the target out for a while: a passive sign, acted on locally.
func (l *Load) Shun(d time.Duration) { l.shunned.Store(int64(time.Since(born) + d)) }

// Shunned tells whether the target is left out.
func (l *Load) Shunned() bool { return int64(time.Since(born)) < l.shunned.Load() }
