package membership

import (
	"sync/atomic"
	"time"
)

// reportTTL is how long a reported load is valid.
const reportTTL = 300 * time.Millisecond

// processStart is the origin of the times in a Load.
var processStart = time.Now()

// Load holds what this sidecar knows about the load of a backend, which may belong to another
// sidecar. It is safe for concurrent use. Times in it are durations since processStart.
type Load struct {
	// Attempts counts this sidecar's own attempts that are currently open at the backend.
	Attempts atomic.Int64
	// reported is the number of requests that were running or queued at the backend according to
	// the last response to an attempt. That response arrived at reportedAt.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// ejectedUntil is the time until which the backend is not chosen.
	ejectedUntil atomic.Int64
}

// Report records the number of open requests that the backend's sidecar sent.
func (l *Load) Report(open int) {
	l.reported.Store(int64(open))
	l.reportedAt.Store(int64(time.Since(processStart)))
}

// EstimateOpen returns an estimate of the number of requests that are open at the backend.
func (l *Load) EstimateOpen() int64 {
	if time.Since(processStart)-time.Duration(l.reportedAt.Load()) > reportTTL {
		return l.Attempts.Load()
	}
	return max(l.reported.Load(), l.Attempts.Load())
}

// Eject excludes the backend from being chosen for the duration d (outlier ejection). Other
// sidecars are not affected.
func (l *Load) Eject(d time.Duration) { l.ejectedUntil.Store(int64(time.Since(processStart) + d)) }

// Ejected reports whether the backend is ejected now.
func (l *Load) Ejected() bool { return int64(time.Since(processStart)) < l.ejectedUntil.Load() }
