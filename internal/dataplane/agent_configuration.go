package dataplane

import (
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/watch"
)

// applyUpdates applies what a control plane replica sent.
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

// applyGossip applies what other sidecars reported. Nodes count only while the control plane
// sends no updates. All that a round brought comes at once, so that the view is rebuilt once
// a round at most. (DESIGN 7.4)
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

// applyState puts a control state in force, if a routing table can be made of it.
func (a *agent) applyState(state config.ControlState) {
	table, ok := routing.NewTable(state)
	if !ok {
		return
	}
	table.SlowStart = a.SlowStart
	table.ContinueSlowStart(a.table.Load(), time.Now())
	a.table.Store(table)
	a.controlState.Store(&state)
	if a.reportLimiter.changed(time.Now()) {
		a.HeartbeatNow()
	}
}

// rebuildView makes the view anew from the mirrored nodes and this one, of which the agent
// itself knows best.
func (a *agent) rebuildView() {
	a.mirror.Nodes[a.Addr] = a.node()
	a.view.Store(membership.NewView(a.mirror.Nodes, a.view.Load()))
}
