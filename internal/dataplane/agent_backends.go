package dataplane

import (
	"time"

	"curlewwalk/internal/dataplane/endpoints"
)

// announce registers an own backend, or marks the backend as leaving.
func (a *agent) announce(m msgAnnounce, now time.Time) {
	if a.resumeDetector.RecentlyResumed(now) && !m.announcement.Draining {
		// The announcement may have been queued while the process was frozen, and the backend
		// may have stopped since. The first announcement of the backend after this period is
		// applied.
		m.reply <- nil
		return
	}
	before := a.registry.Load()
	after, faults := before.Announce(m.announcement, a.Zone, now)
	a.departureLog.observeAnnouncement(m.announcement, *before, after)
	a.setRegistry(after)
	a.acknowledge(*before, after, now, func() { m.reply <- faults })
}

// leave marks an own backend as departed. The backend gets no further requests and is removed
// after it has been silent for long enough.
func (a *agent) leave(m msgLeave, now time.Time) {
	before := a.registry.Load()
	_, known := before.Lookup(m.instance)
	a.departureLog.observeRemoval(m.instance, known, before.HasDeparted(m.instance))
	after := before.MarkDeparted(m.instance)
	a.setRegistry(after)
	a.acknowledge(*before, after, now, func() { m.reply <- known })
}

// acknowledge replies to a backend. The reply is immediate unless the change marks a backend
// as departed. In that case, it is sent once a control plane replica has stored the departure
// or acknowledgeTimeout has passed.
func (a *agent) acknowledge(before, after endpoints.Registry, now time.Time, answer func()) {
	if !after.DepartedSince(before) {
		answer()
		return
	}
	a.pendingDepartures.add(after.Version, now, answer)
}

// setRegistry replaces the endpoint registry. If the registry's version changes, it rebuilds
// the view and sends a heartbeat.
func (a *agent) setRegistry(next endpoints.Registry) {
	next = next.ScaleShares(a.table.Load().WarmupRate, time.Now())
	changed := next.Version != a.registry.Load().Version
	a.registry.Store(&next)
	if changed {
		a.rebuildView()
		a.HeartbeatNow()
	}
}
