package simulation

import (
	"fmt"
	"time"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/watch"
)

// isolated reports whether a sidecar can tell that no majority of the replicas is alive: their
// machines refuse its connections.
func (sim *ServingLeases) isolated(sidecar *leaseSidecar) bool {
	refused := 0
	for _, replica := range sim.replicas {
		if sim.controlPlaneDown() && replica.partition == sidecar.partition {
			refused++
		}
	}
	return refused >= consensus.Majority(len(sim.replicas))
}

// queryPeers asks some other sidecars for their status, and for what they know of others, while
// no replica answers. Enough of them that have lost the control plane too, and have applied no
// newer revision, confirm the sidecar's own.
func (sim *ServingLeases) queryPeers(sidecar *leaseSidecar) {
	if sim.now-sidecar.updatedAt < queryAfter {
		return
	}
	begin, known := sim.now, []string{}
	for _, peer := range sim.sidecars {
		known = append(known, peer.addr)
	}
	for _, i := range sim.rng.Perm(len(sim.sidecars))[:membership.GossipFanout] {
		peer := sim.sidecars[i]
		if peer == sidecar {
			continue
		}
		sim.send(&sidecar.partition, &peer.partition, &peer.frozenUntil, func() {
			reports, revision := peer.peers.Report(sim.peer(peer), membership.NewView(nil, nil), sim.base.Add(sim.now)), peer.revision
			sim.send(&peer.partition, &sidecar.partition, &sidecar.frozenUntil, func() {
				if revision > sidecar.revision {
					sim.fetch(sidecar, peer)
				}
				sim.observeReports(sidecar, reports, known, begin)
			})
		})
	}
}

// observeReports takes in what another sidecar reported to a query that began at a moment, and
// renews the lease if enough sidecars confirm it. known are all sidecars.
func (sim *ServingLeases) observeReports(sidecar *leaseSidecar, reports []membership.Peer, known []string, began time.Duration) {
	if sim.now-began > queryTimeout {
		return
	}
	now := sim.base.Add(sim.now)
	sidecar.peers = sidecar.peers.Observe(sidecar.addr, reports, sim.base.Add(began), now)
	if asOf, ok := sidecar.peers.ConfirmedAsOf(sidecar.addr, sidecar.revision, known, now); ok {
		sidecar.peerLease.Renew(asOf)
	}
}

// peer is the status that a sidecar reports of itself.
func (sim *ServingLeases) peer(sidecar *leaseSidecar) membership.Peer {
	return membership.Peer{Addr: sidecar.addr, Incarnation: 1, Status: &membership.PeerStatus{AppliedRevision: sidecar.revision, QuorumLost: sim.isolated(sidecar)}}
}

// fetch gets the revision of another sidecar.
func (sim *ServingLeases) fetch(sidecar, peer *leaseSidecar) {
	sim.send(&sidecar.partition, &peer.partition, &peer.frozenUntil, func() {
		revision := peer.revision
		sim.send(&peer.partition, &sidecar.partition, &sidecar.frozenUntil, func() { sidecar.revision = max(sidecar.revision, revision) })
	})
}

// watchReplica asks the watched replica for updates. The lease counts from when the replica was
// last confirmed, as of the moment it was asked.
func (sim *ServingLeases) watchReplica(sidecar *leaseSidecar) {
	sentAt, replicaIndex := sim.now, sidecar.replica
	replica := sim.replicas[replicaIndex]
	if sim.rng.IntN(40) == 0 {
		sidecar.replica, sidecar.offset = sim.rng.IntN(len(sim.replicas)), watch.Request{}
		return
	}
	sim.send(&sidecar.partition, &replica.partition, &replica.frozenUntil, func() {
		replica.watch.DetectPause(sim.now)
		if !replica.watch.Ready(sim.now) {
			return
		}
		updates, _ := replica.watch.Since(sidecar.offset)
		age := time.Hour
		if replica.confirmedAt >= 0 {
			age = sim.now - replica.confirmedAt
		}
		sim.send(&replica.partition, &sidecar.partition, &sidecar.frozenUntil, func() {
			if sidecar.replica == replicaIndex {
				sim.applyUpdates(sidecar, updates, sim.base.Add(sentAt-age))
			}
		})
	})
}

// applyUpdates applies updates of the watched replica, which confirms them as of a moment.
func (sim *ServingLeases) applyUpdates(sidecar *leaseSidecar, updates watch.Updates, asOf time.Time) {
	sidecar.offset = watch.Request{LogID: updates.LogID, Offset: updates.Offset}
	for _, event := range updates.Events {
		if event.State != nil {
			sidecar.revision = max(sidecar.revision, event.State.Revision)
		}
	}
	sidecar.updatedAt = sim.now
	sidecar.lease.Renew(asOf)
}

// checkAdmission checks what a lease promises, at a moment at which the sidecar would admit a
// request: no revision that it lacks was committed more than LeaseDuration ago.
func (sim *ServingLeases) checkAdmission(sidecar *leaseSidecar) {
	now := sim.base.Add(sim.now)
	switch {
	case sidecar.lease.Age(now) <= endpoints.LeaseDuration:
		sim.Admitted++
	case sidecar.peerLease.Age(now) <= endpoints.LeaseDuration && sim.isolated(sidecar):
		sim.AdmittedByPeers++
	default:
		sim.Lapsed++
		return
	}
	for i := sidecar.revision; i < uint64(len(sim.ackedAt)); i++ {
		if committedAt := sim.committedAt; sim.ackedAt[i] != 0 && sim.now-committedAt[i] > endpoints.LeaseDuration {
			if sim.controlPlaneDown() && sim.unconfirmed[i+1] {
				sim.Unconfirmed++
				continue
			}
			sim.Violations = append(sim.Violations, fmt.Sprintf("%v: admitted at revision %d, %v after a majority had accepted %d", sim.now, sidecar.revision, sim.now-committedAt[i], i+1))
		}
	}
}
