package membership

import (
	"sync/atomic"
	"time"
)

// reportTTL is how long a reported load is used.
const reportTTL = 300 * time.Millisecond // (ours)

// processStart is what the times of a Load are counted from.
var processStart = time.Now()

// Load is what this sidecar knows of how busy a backend is. It is safe for concurrent use.
// Times in it are durations since processStart.
type Load struct {
	// Attempts counts this sidecar's own attempts that are open there now.
	Attempts atomic.Int64
	// reported is the number of open requests that came with the last response, at reportedAt.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// ejectedUntil is until when the backend is not chosen.
	ejectedUntil atomic.Int64
}

// Report takes the number of open requests that the sidecar beside the backend sent.
func (l *Load) Report(open int) {
	l.reported.Store(int64(open))
	l.reportedAt.Store(int64(time.Since(processStart)))
}

// EstimateOpen estimates the number of requests that are open at the backend.
func (l *Load) EstimateOpen() int64 {
	if time.Since(processStart)-time.Duration(l.reportedAt.Load()) > reportTTL {
		return l.Attempts.Load()
	}
	return max(l.reported.Load(), l.Attempts.Load())
}

// Eject keeps the backend from being chosen for a while (outlier ejection). Other sidecars are
// not affected.
func (l *Load) Eject(d time.Duration) { l.ejectedUntil.Store(int64(time.Since(processStart) + d)) }

// Ejected reports whether the backend is ejected now.
func (l *Load) Ejected() bool { return int64(time.Since(processStart)) < l.ejectedUntil.Load() }
