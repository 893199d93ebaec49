package dataplane

import (
	"context"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/watch"
)

// agentConfig is what the settings say about a sidecar's control state.
type agentConfig struct {
	// Addr is the sidecar's transport address, which identifies it.
	Addr        string
	Incarnation uint64
	Zone        string
	// HeartbeatInterval is how often own backends are expected to announce themselves.
	HeartbeatInterval time.Duration
	// SlowStart is how traffic returns to a zone that has recovered.
	SlowStart routing.SlowStart
}

// agentDeps are the parts that the agent uses.
type agentDeps struct {
	Actors         *actor.System
	RetryBudgets   *retrybudget.ServiceBudgets
	LatencyBudgets *retrybudget.LatencyBudgets
	// Suspects lists the sidecars that this one suspects to have failed.
	Suspects func() []membership.Suspicion
	// HeartbeatNow makes the next heartbeats leave at once; it doesn't block.
	HeartbeatNow func()
	// Notice logs a line for operators; nil for none.
	Notice func(message string, attributes ...any)
}

// agent owns the control state of a sidecar. It is an actor: all changes come as messages
// and are made by handle, one at a time. Others read the immutable snapshots that the
// atomic pointers hold. (DESIGN 1.3)
type agent struct {
	agentConfig
	agentDeps
	mailbox *actor.Mailbox

	// Snapshots, for any goroutine.
	registry    atomic.Pointer[endpoints.Registry]
	table       atomic.Pointer[routing.Table]
	view        atomic.Pointer[membership.View]
	watchStatus atomic.Pointer[watchStatus]
	// controlState is what table was made of; nil before the first.
	controlState atomic.Pointer[config.ControlState]
	// refutation is raised to refute a suspicion of this incarnation. (DESIGN 7.3)
	refutation atomic.Uint64
	// lease is renewed by updates of the control plane, peerLease by the agreement of a
	// majority of the sidecars while the control plane has no quorum.
	lease, peerLease endpoints.Lease

	// What follows belongs to the actor.
	mirror            *watch.Mirror
	wakeDetector      endpoints.WakeDetector
	reportLimiter     reportLimiter
	departureLog      departureLog
	pendingDepartures pendingDepartures
}

// watchStatus is how far this sidecar has come with the updates of the control plane.
type watchStatus struct {
	// Replica is the address of the replica that sent the last update, "" before the
	// first; MemberID is its member.
	Replica  string `json:"core"`
	MemberID int    `json:"slot"`
	// Revision is that of the routing table.
	Revision   uint64    `json:"stamp"`
	LastUpdate time.Time `json:"-"`
}

// newAgent starts an agent with an empty configuration.
func newAgent(cfg agentConfig, deps agentDeps) *agent {
	a := &agent{agentConfig: cfg, agentDeps: deps, mirror: watch.NewMirror()}
	a.departureLog.notice = deps.Notice
	a.registry.Store(&endpoints.Registry{
		Heartbeats: endpoints.HeartbeatPolicy{Interval: cfg.HeartbeatInterval},
		Started:    time.Now(),
	})
	table, _ := routing.NewTable(config.ControlState{})
	a.table.Store(table)
	a.view.Store(membership.NewView(nil, nil))
	a.watchStatus.Store(&watchStatus{})
	a.mailbox = deps.Actors.Spawn("agent", a.handle)
	return a
}

// Run sends the agent its ticks until ctx ends.
func (a *agent) Run(ctx context.Context) {
	tick, wakeCheck := time.NewTicker(membership.HeartbeatInterval), time.NewTicker(endpoints.WakeCheckInterval)
	defer tick.Stop()
	defer wakeCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.mailbox.Send(ctx, msgTick{})
		case <-wakeCheck.C:
			a.mailbox.Send(ctx, msgWakeCheck{})
		}
	}
}

// configured reports whether this sidecar has got a configuration and the other sidecars,
// from the control plane or from a peer.
func (a *agent) configured() bool {
	return a.watchStatus.Load().Replica != "" || a.controlState.Load() != nil
}

// updateAge is the time since the last update of the control plane.
func (a *agent) updateAge(now time.Time) time.Duration {
	return now.Sub(a.watchStatus.Load().LastUpdate)
}

// services lists the services that routes lead to or that have backends.
func (a *agent) services() []string {
	return append(a.table.Load().Services(), a.view.Load().Services()...)
}

// node is what this sidecar reports of itself.
func (a *agent) node() membership.Node {
	registry := a.registry.Load()
	return membership.Node{
		Addr:            a.Addr,
		Incarnation:     a.Incarnation,
		Version:         registry.Version,
		Zone:            a.Zone,
		AppliedRevision: a.table.Load().Revision,
		Backends:        registry.Backends(),
		Departed:        registry.RecentDepartures(),
		Refutation:      a.refutation.Load(),
		OpenRequests:    registry.Outstanding(),
		Suspects:        a.Suspects(),
		Budgets:         a.LatencyBudgets.Local(),
	}
}

// handleHeartbeatResponse takes a control plane replica's response to a heartbeat. It runs
// on the heartbeat's goroutine. A suspicion of this incarnation is refuted at once.
func (a *agent) handleHeartbeatResponse(ctx context.Context, sent, response membership.Heartbeat) {
	if len(response.Departed) > 0 {
		a.mailbox.Send(ctx, msgDeparted{response.Departed})
	}
	if incarnation, version := sent.NodeVersion(); incarnation == a.Incarnation && !response.RequestFull && a.pendingDepartures.nonEmpty.Load() {
		a.mailbox.Send(ctx, msgReplicated{version})
	}
	if response.Budgets != nil {
		a.LatencyBudgets.SetGlobal(response.Budgets)
	}
	if response.Suspected != nil {
		a.refute(*response.Suspected)
	}
}

// refute raises the refutation above a suspected one, and reports it if it was not there.
func (a *agent) refute(suspected uint64) {
	for current := a.refutation.Load(); suspected >= current; current = a.refutation.Load() {
		if a.refutation.CompareAndSwap(current, suspected+1) {
			a.HeartbeatNow()
		}
	}
}

// handleUpdates takes what the control plane sent in response to a request made at
// requestedAt, and returns once it is in force: the next is not requested before, so that of
// changes that come faster only the newest is sent. (DESIGN 8.2)
func (a *agent) handleUpdates(ctx context.Context, replica membership.Replica, updates watch.Updates, requestedAt time.Time) {
	actor.Ask(ctx, a.mailbox, func(applied chan<- bool) any { return msgUpdates{replica, updates, requestedAt, applied} })
}
