package dataplane

import (
	"time"

	"curlewwalk/internal/dataplane/endpoints"
)

// announce registers an own backend, or notes that it is leaving.
func (a *agent) announce(m msgAnnounce, now time.Time) {
	if a.wakeDetector.CatchingUp(now) && !m.announcement.Draining {
		// It may have waited while the process was frozen, and the backend be gone: its
		// next announcement counts.
		m.reply <- nil
		return
	}
	before := a.registry.Load()
	after, faults := before.Announce(m.announcement, a.Zone, now)
	a.departureLog.observeAnnouncement(m.announcement, *before, after)
	a.setRegistry(after)
	a.acknowledge(*before, after, now, func() { m.reply <- faults })
}

// leave notes that an own backend is leaving for good: it gets no more requests, and is removed
// once it has been silent for long enough.
func (a *agent) leave(m msgLeave, now time.Time) {
	before := a.registry.Load()
	_, known := before.Lookup(m.instance)
	a.departureLog.observeRemoval(m.instance, known, before.HasDeparted(m.instance))
	after := before.MarkDeparted(m.instance)
	a.setRegistry(after)
	a.acknowledge(*before, after, now, func() { m.reply <- known })
}

// acknowledge answers a backend: at once, unless it has just said that it is leaving. That a
// control plane replica must have stored first, or acknowledgeTimeout have passed.
func (a *agent) acknowledge(before, after endpoints.Registry, now time.Time, answer func()) {
	if !after.DepartedSince(before) {
		answer()
		return
	}
	a.pendingDepartures.add(after.Version, now, answer)
}

// setRegistry puts a registry in force, and reports it if it is a new version.
func (a *agent) setRegistry(next endpoints.Registry) {
	next = next.ScaleShares(a.table.Load().WarmupRate, time.Now())
	changed := next.Version != a.registry.Load().Version
	a.registry.Store(&next)
	if changed {
		a.rebuildView()
		a.HeartbeatNow()
	}
}
