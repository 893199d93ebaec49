package membership

import (
	"sync/atomic"
	"time"
)

// Load is what this node knows of how busy a backend is.
type Load struct {
	// Attempts counts our own attempts now open there.
	Attempts atomic.Int64
	// reported is what the far sidecar said with its last response.
	reported atomic.Int64
	// reportedAt is when it did, after born.
	reportedAt atomic.Int64
	// ejectedUntil is until when, after born, the target is left out.
	ejectedUntil atomic.Int64
}

var processStart = time.Now()

// reportTTL is how long a told load is worth something.
const reportTTL = 300 * time.Millisecond // (ours)

// Report takes the number of requests that the far sidecar had open.
func (l *Load) Report(open int) {
	l.reported.Store(int64(open))
	l.reportedAt.Store(int64(time.Since(processStart)))
}

// EstimateOpen estimates the open requests at the backend.
func (l *Load) EstimateOpen() int64 {
	if time.Since(processStart)-time.Duration(l.reportedAt.Load()) > reportTTL {
		return l.Attempts.Load()
	}
	return max(l.reported.Load(), l.Attempts.Load())
}

// Eject leaves the target out for a while: a passive sign, acted on locally.
func (l *Load) Eject(d time.Duration) { l.ejectedUntil.Store(int64(time.Since(processStart) + d)) }

// Ejected tells whether the target is left out.
func (l *Load) Ejected() bool { return int64(time.Since(processStart)) < l.ejectedUntil.Load() }
