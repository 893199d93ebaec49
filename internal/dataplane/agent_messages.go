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
	// msgAnnounce carries an announcement of an own backend. The reply lists the faults found
	// in the announcement.
	msgAnnounce struct {
		announcement endpoints.Announcement
		reply        chan<- []string
	}
	// msgLeave reports that an own backend is leaving. The reply reports whether the backend
	// was known.
	msgLeave struct {
		instance string
		reply    chan<- bool
	}
	// msgDeparted lists backends that departed during an earlier incarnation of this sidecar.
	msgDeparted struct{ instances []string }
	// msgReplicated reports that a control plane replica has stored the given version of this
	// node.
	msgReplicated struct{ version uint64 }
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
	case msgReplicated:
		a.pendingDepartures.replicated(m.version)
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
