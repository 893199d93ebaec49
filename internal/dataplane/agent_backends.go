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
		m.reply <- announceResult{recorded: true}
		return
	}
	before := a.registry.Load()
	after, faults := before.Announce(m.announcement, a.Zone, now)
	a.departureLog.observeAnnouncement(m.announcement, *before, after)
	a.setRegistry(after)
	answer := func(recorded bool) { m.reply <- announceResult{faults, recorded} }
	if len(faults) > 0 || !m.announcement.Draining {
		answer(true)
		return
	}
	a.acknowledgeDeparture(m.announcement.Instance, now, answer)
}

// leave marks an own backend as departed. The backend gets no further requests and is removed
// after it has been silent for long enough.
func (a *agent) leave(m msgLeave, now time.Time) {
	before := a.registry.Load()
	_, known := before.Lookup(m.instance)
	a.departureLog.observeRemoval(m.instance, known, before.HasDeparted(m.instance))
	after := before.MarkDeparted(m.instance)
	a.setRegistry(after)
	a.acknowledgeDeparture(m.instance, now, func(recorded bool) { m.reply <- leaveResult{known, recorded} })
}

// acknowledgeDeparture replies to a backend that is leaving, once the control state records its
// departure or acknowledgeTimeout has passed.
func (a *agent) acknowledgeDeparture(instance string, now time.Time, answer func(recorded bool)) {
	a.pendingDepartures.add(instance, now, answer)
	a.pendingDepartures.release(a.registry.Load().IsRecorded)
}

// setRegistry replaces the endpoint registry. If the registry's version changes, it rebuilds
// the view and sends a heartbeat.
func (a *agent) setRegistry(next endpoints.Registry) {
	next = next.ScaleShares(a.table.Load(), time.Now())
	changed := next.Version != a.registry.Load().Version
	a.registry.Store(&next)
	if changed {
		a.rebuildView()
		a.HeartbeatNow()
	}
}
