package dataplane

import (
	"context"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/watch"
)

// Messages handled by the agent. A message with a channel gets exactly one reply on it. The
// channel must be buffered so that the reply does not block the agent.
type (
	// msgAnnounce carries an announcement of an own backend.
	msgAnnounce struct {
		announcement endpoints.Announcement
		reply        chan<- announceResult
	}
	// msgLeave reports that an own backend is leaving.
	msgLeave struct {
		instance string
		reply    chan<- leaveResult
	}
	// msgDeparted lists backends that departed during an earlier incarnation of this sidecar.
	msgDeparted struct{ instances []string }
	// msgUpdates carries updates from a control plane replica. The reply is sent once they
	// are in force.
	msgUpdates struct {
		replica     membership.Replica
		updates     watch.Updates
		requestedAt time.Time
		applied     chan<- bool
	}
	// msgGossip carries the result of a gossip round.
	msgGossip struct{ update membership.GossipUpdate }
	// msgTick is sent every membership.HeartbeatInterval.
	msgTick struct{}
	// msgResumeCheck is sent every endpoints.ResumeCheckInterval.
	msgResumeCheck struct{}
	// msgDrain reports that the sidecar is shutting down.
	msgDrain struct{}
	// msgPing is answered when it is processed. The liveness check uses it.
	msgPing struct{ reply chan<- bool }
)

// announceResult is the result of an announcement. faults lists the faults found in it. recorded is
// false if the announcement reports a departure that was not recorded in time.
type announceResult struct {
	faults   []string
	recorded bool
}

// leaveResult is the result of a backend's request to leave. known reports whether the backend was
// registered. recorded is false if the departure was not recorded in time.
type leaveResult struct{ known, recorded bool }

// handle processes one message. Only the actor may call it.
func (a *agent) handle(_ context.Context, message any) {
	now := time.Now()
	a.resumeDetector.Check(now)
	switch m := message.(type) {
	case msgAnnounce:
		a.announce(m, now)
	case msgLeave:
		a.leave(m, now)
	case msgDeparted:
		a.setRegistry(a.registry.Load().MarkDeparted(m.instances...))
	case msgDrain:
		a.setRegistry(a.registry.Load().Drain())
	case msgUpdates:
		a.applyUpdates(m.replica, m.updates)
		a.lease.Renew(m.requestedAt.Add(-m.updates.Age))
		m.applied <- true
	case msgGossip:
		a.applyGossip(m.update, now)
	case msgResumeCheck:
		a.pendingDepartures.expire(now)
		if a.reportLimiter.tick(now) {
			a.HeartbeatNow()
		}
	case msgTick:
		a.setRegistry(a.registry.Load().ExpireSilent(now))
		a.RetryBudgets.SetNodes(slices.Sorted(maps.Keys(a.mirror.Nodes)), now)
	case msgPing:
		m.reply <- true
	}
}
