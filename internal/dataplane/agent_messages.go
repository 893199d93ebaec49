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

// The messages of the agent. Those with a channel are answered on it, once; the channel has
// room for the answer.
type (
	// msgAnnounce is an own backend's announcement. Its answer lists what is wrong with it.
	msgAnnounce struct {
		announcement endpoints.Announcement
		reply        chan<- []string
	}
	// msgLeave says that an own backend is leaving. Its answer reports whether it was known.
	msgLeave struct {
		instance string
		reply    chan<- bool
	}
	// msgDeparted lists backends that left while an earlier incarnation ran.
	msgDeparted struct{ instances []string }
	// msgReplicated says that a control plane replica has this node at a version.
	msgReplicated struct{ version uint64 }
	// msgUpdates is what a control plane replica sent. It is answered when it is in force.
	msgUpdates struct {
		replica     membership.Replica
		updates     watch.Updates
		requestedAt time.Time
		applied     chan<- bool
	}
	// msgGossip is what a round of queries to other sidecars brought.
	msgGossip struct{ update membership.GossipUpdate }
	// msgTick comes every membership.HeartbeatInterval.
	msgTick struct{}
	// msgWakeCheck comes every endpoints.WakeCheckInterval.
	msgWakeCheck struct{}
	// msgDrain says that the sidecar is shutting down.
	msgDrain struct{}
	// msgPing is answered as soon as its turn comes.
	msgPing struct{ reply chan<- bool }
)

// handle handles one message. The actor calls it, and nothing else does.
func (a *agent) handle(_ context.Context, message any) {
	now := time.Now()
	a.wakeDetector.Check(now)
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
	case msgWakeCheck:
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
