package simulation

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/watch"
)

// watchReplica requests updates from the first live replica in rendezvous order. Replicas that
// failed recently are tried last.
func (sim *Membership) watchReplica(sidecar *gossipSidecar) {
	if !sim.chooseReplica(sidecar) {
		return
	}
	replica, offset, request := sidecar.replica, sidecar.offset, sidecar.decoder.Prepare(sidecar.offset)
	sim.call(&sidecar.gossipHost, &replica.gossipHost, 900*time.Millisecond, func() any {
		replica.watch.DetectPause(sim.now)
		if !replica.watch.Ready(sim.now) {
			return false
		}
		updates, _ := replica.watch.Since(request)
		return updates
	}, func(answer any, _ bool) {
		updates, ok := answer.(watch.Updates)
		if !ok {
			sidecar.failedAt[replica.addr] = sim.now
			return
		}
		if sidecar.replica != replica || sidecar.offset.LogID != offset.LogID || sidecar.offset.Offset != offset.Offset {
			return // the answer to a later call has already been applied
		}
		sim.applyUpdates(sidecar, updates)
	})
}

// chooseReplica selects the replica that a sidecar watches. It reports whether a replica is live.
func (sim *Membership) chooseReplica(sidecar *gossipSidecar) bool {
	live := rendezvous.Rank(sidecar.addr, sidecar.replicas.Live(sim.base.Add(sim.now)), func(r membership.Replica) string { return r.Addr })
	if len(live) == 0 {
		return false
	}
	slices.SortStableFunc(live, func(a, b membership.Replica) int {
		return int(sidecar.failedAt[a.Addr]/1e6) - int(sidecar.failedAt[b.Addr]/1e6)
	})
	replica := sim.replicas[live[0].MemberID-1]
	if sidecar.replica != replica || sidecar.replicaStartID != live[0].Incarnation {
		sidecar.replica, sidecar.replicaStartID, sidecar.offset = replica, live[0].Incarnation, watch.Request{}
		sim.Redirected++
	}
	return true
}

// applyUpdates applies updates at a sidecar. It checks that the applied revision does not decrease
// and has the content that was committed.
func (sim *Membership) applyUpdates(sidecar *gossipSidecar, updates watch.Updates) {
	for _, event := range updates.Events {
		if event.StatePatch != nil {
			sim.Patched++
		}
	}
	updates.Events = slices.Clone(updates.Events) // the replica still uses the original slice
	if !sidecar.decoder.Decode(&updates) {
		sim.Unreadable++
		return // the next request asks for the full state
	}
	sidecar.offset = watch.Request{LogID: updates.LogID, Offset: updates.Offset}
	state, _ := sidecar.mirror.Apply(updates)
	if state == nil {
		return
	}
	if state.Revision < sidecar.revision {
		sim.violation("%s went from revision %d back to %d", sidecar.addr, sidecar.revision, state.Revision)
	}
	sidecar.revision = state.Revision
	if !bytes.Equal(state.Configuration, stateOf(state.Revision).Configuration) {
		sim.violation("%s applied wrong content for revision %d", sidecar.addr, state.Revision)
	}
}

// catchUp copies newer revisions from the other replicas, as heartbeats between replicas do.
func (sim *Membership) catchUp(replica *gossipReplica) {
	for _, peer := range sim.replicas {
		sim.call(&replica.gossipHost, &peer.gossipHost, time.Second, func() any { return peer.revision }, func(answer any, _ bool) {
			if revision, ok := answer.(uint64); ok && revision > replica.revision {
				replica.revision = revision
				replica.watch.ObserveCommitted(stateOf(revision))
			}
		})
	}
}

// stateOf returns the state of a revision. The states of two revisions differ in a small part, so
// that patches are worth sending.
func stateOf(revision uint64) config.ControlState {
	text := strings.Repeat("a route that stays as it is; ", 10)
	return config.ControlState{Revision: revision, Configuration: fmt.Appendf([]byte(text), "a route as of revision %d; %s", revision, text)}
}

// write commits a new revision at a replica that is up.
func (sim *Membership) write() {
	replica := sim.replicas[sim.rng.IntN(len(sim.replicas))]
	if !replica.up || replica.pausedUntil > sim.now {
		return
	}
	sim.Revisions++
	replica.revision = uint64(sim.Revisions)
	replica.watch.ObserveCommitted(stateOf(replica.revision))
}
