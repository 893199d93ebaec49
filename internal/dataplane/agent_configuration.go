package dataplane

import (
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/watch"
)

// applyUpdates applies updates from a control plane replica.
func (a *agent) applyUpdates(replica membership.Replica, updates watch.Updates) {
	state, nodesChanged := a.mirror.Apply(updates)
	if state != nil {
		a.applyState(*state)
	}
	if nodesChanged {
		a.rebuildView()
	}
	a.watchStatus.Store(&watchStatus{
		Replica:    replica.Addr,
		MemberID:   replica.MemberID,
		Revision:   a.table.Load().Revision,
		LastUpdate: time.Now(),
	})
}

// applyGossip applies the combined result of a gossip round. Gossiped nodes are merged only
// while the control plane sends no updates. A round's results arrive in one message, so a
// round rebuilds the view at most once. (DESIGN 7.4)
func (a *agent) applyGossip(update membership.GossipUpdate, now time.Time) {
	if update.State != nil && a.mirror.AdvanceTo(*update.State) {
		a.applyState(*update.State)
	}
	if a.updateAge(now) < membership.ReplicaTimeout {
		return
	}
	if a.mirror.MergeNodes(update.Nodes, update.Dead) {
		a.rebuildView()
	}
}

// applyState puts a control state into force. It ignores a state from which no routing table
// can be built. A state that changes only the recorded departures keeps the routing table.
func (a *agent) applyState(state config.ControlState) {
	if previous := a.controlState.Load(); previous != nil && previous.RoutesAlike(state) {
		a.table.Store(a.table.Load().WithRevision(state.Revision))
		a.controlState.Store(&state)
		a.recordDepartures(state)
		return
	}
	table, ok := routing.NewTable(state)
	if !ok {
		return
	}
	table.SlowStart, table.ColdMargin = a.SlowStart, a.HeartbeatInterval
	table.ContinueSlowStart(a.table.Load(), time.Now())
	a.table.Store(table)
	a.controlState.Store(&state)
	a.recordDepartures(state)
	if a.reportLimiter.changed(time.Now()) {
		a.HeartbeatNow()
	}
}

// recordDepartures applies the departures that a control state records, and acknowledges those of
// own backends among them.
func (a *agent) recordDepartures(state config.ControlState) {
	a.setRegistry(a.registry.Load().WithRecorded(state.Departed))
	a.pendingDepartures.release(a.registry.Load().IsRecorded)
}

// rebuildView rebuilds the view from the mirrored nodes. The entry for this sidecar is
// replaced by the agent's own, which is always the most recent.
func (a *agent) rebuildView() {
	a.mirror.Nodes[a.Addr] = a.node()
	a.view.Store(membership.NewView(a.mirror.Nodes, a.view.Load()))
}
