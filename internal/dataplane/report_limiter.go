package dataplane

import "time"

// reportInterval is the minimum time between heartbeats that are triggered by new
// configurations. Each such heartbeat goes to every control plane replica. Without the limit,
// ten changes a second would make these heartbeats most of the traffic.
const reportInterval = 250 * time.Millisecond

// reportLimiter decides when to report to the control plane that a new configuration is in
// force. It is not safe for concurrent use. (DESIGN 8.3)
type reportLimiter struct {
	lastReport time.Time
	pending    bool
}

// changed records that a new configuration is in force. It reports whether to send a report
// now.
func (r *reportLimiter) changed(now time.Time) bool {
	r.pending = true
	return r.tick(now)
}

// tick reports whether a pending report is due. If so, the report is considered sent.
func (r *reportLimiter) tick(now time.Time) bool {
	if !r.pending || now.Sub(r.lastReport) < reportInterval {
		return false
	}
	r.lastReport, r.pending = now, false
	return true
}
