package dataplane

import (
	"context"
	"maps"
	"slices"
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

// agent is the one thread of control state. It swaps whole the snapshots
// that traffic reads. (DESIGN 1.3)
type agent struct {
	mailbox          *actor.Mailbox
	addr             string
	incarnation      uint64
	zone             string
	triggerHeartbeat func()
	retryBudgets     *retrybudget.ServiceBudgets
	budgets          *retrybudget.LatencyBudgets
	watcher          *membership.Prober
	refutation       atomic.Uint64
	wakeDetector     endpoints.WakeDetector

	mirror *watch.Mirror

	registry    atomic.Pointer[endpoints.Registry]
	table       atomic.Pointer[routing.Table]
	view        atomic.Pointer[membership.View]
	watchStatus atomic.Pointer[watchStatus]
	lease       endpoints.Lease
	// peerLease is the claim that a roll call gives while no majority of cores lives.
	peerLease endpoints.Lease
	// controlState is the word that the table was made of.
	controlState atomic.Pointer[config.ControlState]
	// reportLimiter limits how often new configurations hasten heartbeats.
	reportLimiter reportLimiter
	// slowStart is how zones are taken back.
	slowStart routing.SlowStart
	// departureLog tells what own backends said of leaving; held are their words of
	// leaving that no core holds yet.
	departureLog      departureLog
	pendingDepartures pendingDepartures
}

// watchStatus is what the steward shows of the feed.
type watchStatus struct {
	Replica    string    `json:"core"`
	MemberID   int       `json:"slot"`
	Revision   uint64    `json:"stamp"`
	LastUpdate time.Time `json:"-"`
}

type (
	msgAnnounce struct {
		announcement endpoints.Announcement
		reply        chan<- []string
	}
	msgLeave struct {
		instance string
		reply    chan<- bool
	}
	// msgDeparted tells of instances that said to an earlier process that they leave.
	msgDeparted struct{ instances []string }
	// msgReplicated tells that a core has this node in a revision.
	msgReplicated struct{ version uint64 }
	msgUpdate     struct {
		replica     membership.Replica
		update      watch.Updates
		requestedAt time.Time
		applied     chan<- bool
	}
	msgQueryResult struct{ result membership.GossipUpdate }
	msgTick        struct{}
	msgWakeCheck   struct{}
	msgDrain       struct{}
	msgPing        struct{ reply chan<- bool }
)

func newAgent(actors *actor.System, addr string, incarnation uint64, zone string, extraAttempts int, triggerHeartbeat func()) *agent {
	a := &agent{addr: addr, incarnation: incarnation, zone: zone, triggerHeartbeat: triggerHeartbeat, mirror: watch.NewMirror()}
	a.watcher = membership.NewProber()
	a.retryBudgets, a.budgets = retrybudget.NewServiceBudgets(addr, extraAttempts), retrybudget.NewLatencyBudgets()
	a.registry.Store(&endpoints.Registry{})
	table, _ := routing.NewTable(config.ControlState{})
	a.table.Store(table)
	a.view.Store(membership.NewView(nil, nil))
	a.watchStatus.Store(&watchStatus{})
	a.mailbox = actors.Spawn("steward", a.handle)
	return a
}

// handleHeartbeatResponse takes a core's response to a heartbeat. An accusation is refuted at once.
func (a *agent) handleHeartbeatResponse(ctx context.Context, handleHeartbeatResponse, response membership.Heartbeat) {
	if len(response.Departed) > 0 {
		a.mailbox.Send(ctx, msgDeparted{response.Departed})
	}
	if incarnation, version := handleHeartbeatResponse.NodeVersion(); incarnation == a.incarnation && !response.RequestFull && a.pendingDepartures.nonEmpty.Load() {
		a.mailbox.Send(ctx, msgReplicated{version})
	}
	if response.Budgets != nil {
		a.budgets.SetGlobal(response.Budgets)
	}
	for current := a.refutation.Load(); response.Suspected != nil && *response.Suspected >= current; current = a.refutation.Load() {
		if a.refutation.CompareAndSwap(current, *response.Suspected+1) {
			a.triggerHeartbeat()
		}
	}
}

// run keeps time until ctx ends.
func (a *agent) run(ctx context.Context) {
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

// Node is what this sidecar tells of itself.
func (a *agent) node() membership.Node {
	registry := a.registry.Load()
	return membership.Node{
		Addr: a.addr, Incarnation: a.incarnation, Version: registry.Version, Zone: a.zone, AppliedRevision: a.table.Load().Revision, Backends: registry.Backends(), Departed: registry.RecentDepartures(), Refutation: a.refutation.Load(), OpenRequests: registry.Outstanding(),
		Suspects: a.watcher.Suspects(), Budgets: a.budgets.Local(),
	}
}

// services lists the services that ways lead to and backends are of.
func (a *agent) services() []string {
	return append(a.table.Load().Services(), a.view.Load().Services()...)
}

func (a *agent) handle(_ context.Context, msg any) {
	now := time.Now()
	a.wakeDetector.Check(now)
	switch message := msg.(type) {
	case msgAnnounce:
		if a.wakeDetector.CatchingUp(now) && !message.announcement.Draining {
			// It may have piled up while the process was frozen, and its sender
			// be gone: the next beat will tell.
			message.reply <- nil
			return
		}
		before := a.registry.Load()
		next, faults := before.Announce(message.announcement, a.zone, now)
		a.departureLog.observeAnnouncement(message.announcement, *before, next)
		a.setRegistry(next)
		a.acknowledge(*before, next, now, func() { message.reply <- faults })
	case msgLeave:
		before := a.registry.Load()
		_, known := before.Lookup(message.instance)
		a.departureLog.observeRemoval(message.instance, known, before.HasDeparted(message.instance))
		next := before.MarkDeparted(message.instance)
		a.setRegistry(next)
		a.acknowledge(*before, next, now, func() { message.reply <- known })
	case msgDeparted:
		a.setRegistry(a.registry.Load().MarkDeparted(message.instances...))
	case msgReplicated:
		a.pendingDepartures.replicated(message.version)
	case msgDrain:
		a.setRegistry(a.registry.Load().Drain())
	case msgUpdate:
		a.applyUpdate(message.replica, message.update)
		a.lease.Renew(message.requestedAt.Add(-message.update.Age))
		message.applied <- true
	case msgQueryResult:
		a.applyQueryResult(message.result, now)
	case msgWakeCheck:
		a.pendingDepartures.expire(now)
		if a.reportLimiter.tick(now) {
			a.triggerHeartbeat()
		}
	case msgTick:
		a.setRegistry(a.registry.Load().ExpireSilent(now))
		a.retryBudgets.SetNodes(slices.Sorted(maps.Keys(a.mirror.Nodes)), now)
	case msgPing:
		message.reply <- true
	}
}

// acknowledge answers a backend: at once, unless it has just said that it leaves, which a
// core must hold first.
func (a *agent) acknowledge(before, after endpoints.Registry, now time.Time, answer func()) {
	if !after.DepartedSince(before) {
		answer()
		return
	}
	a.pendingDepartures.add(after.Version, now, answer)
}

func (a *agent) setRegistry(next endpoints.Registry) {
	next = next.ScaleShares(a.table.Load().WarmupRate, time.Now())
	changed := next.Version != a.registry.Load().Version
	a.registry.Store(&next)
	if changed {
		a.rebuildView()
		a.triggerHeartbeat()
	}
}

// rebuildView rebuilds the view. Of itself a node knows best.
func (a *agent) rebuildView() {
	a.mirror.Nodes[a.addr] = a.node()
	a.view.Store(membership.NewView(a.mirror.Nodes, a.view.Load()))
}

func (a *agent) applyUpdate(replica membership.Replica, update watch.Updates) {
	state, changed := a.mirror.Apply(update)
	if state != nil {
		a.applyState(*state)
	}
	if changed {
		a.rebuildView()
	}
	a.watchStatus.Store(&watchStatus{Replica: replica.Addr, MemberID: replica.MemberID, Revision: a.table.Load().Revision, LastUpdate: time.Now()})
}

// updateAge is how old the news from the cores is.
func (a *agent) updateAge(now time.Time) time.Duration {
	return now.Sub(a.watchStatus.Load().LastUpdate)
}

// applyQueryResult takes what other sidecars have, while no core tells: one round's finds at a
// time, so that the view is made anew once a round at most. (DESIGN 7.4)
func (a *agent) applyQueryResult(result membership.GossipUpdate, now time.Time) {
	if result.State != nil && a.mirror.AdvanceTo(*result.State) {
		a.applyState(*result.State)
	}
	if a.updateAge(now) < membership.ReplicaTimeout {
		return
	}
	if a.mirror.MergeNodes(result.Nodes, result.Dead) {
		a.rebuildView()
	}
}

// applyState puts a word in force.
func (a *agent) applyState(state config.ControlState) {
	if table, ok := routing.NewTable(state); ok {
		table.SlowStart = a.slowStart
		table.ContinueSlowStart(a.table.Load(), time.Now())
		a.table.Store(table)
		a.controlState.Store(&state)
		if a.reportLimiter.changed(time.Now()) {
			a.triggerHeartbeat()
		}
	}
}
