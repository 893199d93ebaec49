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

// agentConfig holds the agent's configuration, which comes from the sidecar's settings.
type agentConfig struct {
	// Addr is the sidecar's transport address, which identifies the sidecar.
	Addr        string
	Incarnation uint64
	Zone        string
	// HeartbeatInterval is the interval at which own backends are expected to announce
	// themselves. It is not membership.HeartbeatInterval, at which processes send heartbeats
	// to each other.
	HeartbeatInterval time.Duration
	// SlowStart controls how traffic returns to a zone that has recovered.
	SlowStart routing.SlowStart
}

// agentDeps holds the dependencies of the agent.
type agentDeps struct {
	Actors         *actor.System
	RetryBudgets   *retrybudget.ServiceBudgets
	LatencyBudgets *retrybudget.LatencyBudgets
	// Suspects returns the sidecars that this sidecar suspects to have failed.
	Suspects func() []membership.Suspicion
	// HeartbeatNow triggers an immediate heartbeat to the control plane replicas. It does not
	// block.
	HeartbeatNow func()
	// Notice logs a line for operators. It may be nil.
	Notice func(message string, attributes ...any)
}

// agent owns the control state of a sidecar. It is an actor: every change arrives as a
// message, and handle processes one message at a time. Other goroutines read the immutable
// snapshots behind the atomic pointers. (DESIGN 1.3)
type agent struct {
	agentConfig
	agentDeps
	mailbox *actor.Mailbox

	// Snapshots that any goroutine may read.
	registry    atomic.Pointer[endpoints.Registry]
	table       atomic.Pointer[routing.Table]
	view        atomic.Pointer[membership.View]
	watchStatus atomic.Pointer[watchStatus]
	// controlState is the state that table was built from. It is nil until the first state is
	// applied.
	controlState atomic.Pointer[config.ControlState]
	// refutation is the refutation number of this incarnation. The agent raises it to refute
	// a suspicion. (DESIGN 7.3)
	refutation atomic.Uint64
	// lease is renewed by control plane updates. While the control plane has no quorum,
	// peerLease is renewed by the agreement of a majority of the sidecars.
	lease, peerLease endpoints.Lease

	// The fields below are accessed only by the actor.
	mirror            *watch.Mirror
	resumeDetector    endpoints.ResumeDetector
	reportLimiter     reportLimiter
	departureLog      departureLog
	pendingDepartures pendingDepartures
}

// watchStatus describes the latest control plane update that this sidecar has applied.
type watchStatus struct {
	// Replica is the address of the replica that sent the last update, or "" before the first
	// update. MemberID is the member ID of that replica.
	Replica  string `json:"core"`
	MemberID int    `json:"slot"`
	// Revision is the revision of the routing table.
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

// Run sends the agent its periodic messages until ctx ends.
func (a *agent) Run(ctx context.Context) {
	tick, resumeCheck := time.NewTicker(membership.HeartbeatInterval), time.NewTicker(endpoints.ResumeCheckInterval)
	defer tick.Stop()
	defer resumeCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.mailbox.Send(ctx, msgTick{})
		case <-resumeCheck.C:
			a.mailbox.Send(ctx, msgResumeCheck{})
		}
	}
}

// configured reports whether this sidecar has received a configuration and the list of
// sidecars, either from the control plane or from a peer.
func (a *agent) configured() bool {
	return a.watchStatus.Load().Replica != "" || a.controlState.Load() != nil
}

// updateAge returns the time since the last control plane update.
func (a *agent) updateAge(now time.Time) time.Duration {
	return now.Sub(a.watchStatus.Load().LastUpdate)
}

// services returns the services that are the target of a route or that have backends. A
// service may be listed twice.
func (a *agent) services() []string {
	return append(a.table.Load().Services(), a.view.Load().Services()...)
}

// node returns this sidecar's own entry in the membership.
func (a *agent) node() membership.Node {
	registry := a.registry.Load()
	return membership.Node{
		Addr:            a.Addr,
		Incarnation:     a.Incarnation,
		Version:         registry.Version,
		Zone:            a.Zone,
		AppliedRevision: a.table.Load().Revision,
		Backends:        registry.Backends(),
		Departed:        registry.UnrecordedDepartures(),
		Refutation:      a.refutation.Load(),
		OpenRequests:    registry.Outstanding(),
		Suspects:        a.Suspects(),
		Budgets:         a.LatencyBudgets.Local(),
	}
}

// handleHeartbeatResponse processes a control plane replica's response to a heartbeat. It
// runs on the heartbeat's goroutine. It refutes a suspicion of this incarnation immediately.
func (a *agent) handleHeartbeatResponse(ctx context.Context, response membership.Heartbeat) {
	if len(response.Departed) > 0 {
		a.mailbox.Send(ctx, msgDeparted{response.Departed})
	}
	if response.Budgets != nil {
		a.LatencyBudgets.SetGlobal(response.Budgets)
	}
	if response.Suspected != nil {
		a.refute(*response.Suspected)
	}
}

// refute raises the refutation number above a suspected one and, if the number changes, sends
// a heartbeat.
func (a *agent) refute(suspected uint64) {
	for current := a.refutation.Load(); suspected >= current; current = a.refutation.Load() {
		if a.refutation.CompareAndSwap(current, suspected+1) {
			a.HeartbeatNow()
		}
	}
}

// handleUpdates applies the updates that a replica sent in response to a request made at
// requestedAt. It blocks until they are in force. The watcher makes its next request only
// after that, so when changes arrive faster than they are applied, the replica sends only the
// newest. (DESIGN 8.2)
func (a *agent) handleUpdates(ctx context.Context, replica membership.Replica, updates watch.Updates, requestedAt time.Time) {
	actor.Ask(ctx, a.mailbox, func(applied chan<- bool) any { return msgUpdates{replica, updates, requestedAt, applied} })
}
