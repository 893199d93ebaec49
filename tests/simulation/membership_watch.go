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

// watchReplica asks the first live replica in rendezvous order for updates; one that failed
// lately comes last.
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
			return // a later call was answered first
		}
		sim.applyUpdates(sidecar, updates)
	})
}

// chooseReplica has a sidecar choose the replica that it watches; false if none is live.
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

// applyUpdates has a sidecar apply updates, and checks that it does not go back and that each
// revision has its own content.
func (sim *Membership) applyUpdates(sidecar *gossipSidecar, updates watch.Updates) {
	for _, event := range updates.Events {
		if event.StatePatch != nil {
			sim.Patched++
		}
	}
	updates.Events = slices.Clone(updates.Events) // the replica owns them
	if !sidecar.decoder.Decode(&updates) {
		sim.Unreadable++
		return // the next request is for the full state
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
		sim.violation("%s applied another content as revision %d", sidecar.addr, state.Revision)
	}
}

// catchUp copies what another replica has committed, as the heartbeats between replicas do.
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

// stateOf is the state of a revision; states differ in a small part.
func stateOf(revision uint64) config.ControlState {
	text := strings.Repeat("a route that stays as it is; ", 10)
	return config.ControlState{Revision: revision, Configuration: fmt.Appendf([]byte(text), "a route as of revision %d; %s", revision, text)}
}

// write commits a new revision at a replica that is up.
func (sim *Membership) write() {
	replica := sim.replicas[sim.rng.IntN(len(sim.replicas))]
	if !replica.up || replica.frozenUntil > sim.now {
		return
	}
	sim.Revisions++
	replica.revision = uint64(sim.Revisions)
	replica.watch.ObserveCommitted(stateOf(replica.revision))
}
