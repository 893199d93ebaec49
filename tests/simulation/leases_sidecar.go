package simulation

import (
	"fmt"
	"time"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/watch"
)

// isolated reports whether a sidecar can tell that no majority of the replicas is alive, because
// the machines of a majority refuse its connections.
func (sim *ServingLeases) isolated(sidecar *leaseSidecar) bool {
	refused := 0
	for _, replica := range sim.replicas {
		if sim.controlPlaneDown() && replica.partition == sidecar.partition {
			refused++
		}
	}
	return refused >= consensus.Majority(len(sim.replicas))
}

// queryPeers queries random sidecars for their status and for the status of others that they know,
// while no replica answers. The lease is renewed if enough sidecars report that they have lost the
// control plane too and have not applied a newer revision.
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
		sim.send(&sidecar.partition, &peer.partition, &peer.pausedUntil, func() {
			reports, revision := peer.peers.Report(sim.peer(peer), membership.NewView(nil, nil), sim.base.Add(sim.now)), peer.revision
			sim.send(&peer.partition, &sidecar.partition, &sidecar.pausedUntil, func() {
				if revision > sidecar.revision {
					sim.fetch(sidecar, peer)
				}
				sim.observeReports(sidecar, reports, known, begin)
			})
		})
	}
}

// observeReports records the reports that another sidecar returned to a query that began at began,
// and renews the lease if enough sidecars confirm the applied revision. known are the addresses of
// all sidecars.
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

// peer returns the status that a sidecar reports about itself.
func (sim *ServingLeases) peer(sidecar *leaseSidecar) membership.Peer {
	return membership.Peer{Addr: sidecar.addr, Incarnation: 1, Status: &membership.PeerStatus{AppliedRevision: sidecar.revision, QuorumLost: sim.isolated(sidecar)}}
}

// fetch copies the applied revision of another sidecar.
func (sim *ServingLeases) fetch(sidecar, peer *leaseSidecar) {
	sim.send(&sidecar.partition, &peer.partition, &peer.pausedUntil, func() {
		revision := peer.revision
		sim.send(&peer.partition, &sidecar.partition, &sidecar.pausedUntil, func() { sidecar.revision = max(sidecar.revision, revision) })
	})
}

// watchReplica requests updates from the watched replica. The lease is renewed as of the time of
// the request minus the age of the replica's last confirmed quorum read.
func (sim *ServingLeases) watchReplica(sidecar *leaseSidecar) {
	sentAt, replicaIndex := sim.now, sidecar.replica
	replica := sim.replicas[replicaIndex]
	if sim.rng.IntN(40) == 0 {
		sidecar.replica, sidecar.offset = sim.rng.IntN(len(sim.replicas)), watch.Request{}
		return
	}
	sim.send(&sidecar.partition, &replica.partition, &replica.pausedUntil, func() {
		replica.watch.DetectPause(sim.now)
		if !replica.watch.Ready(sim.now) {
			return
		}
		updates, _ := replica.watch.Since(sidecar.offset)
		age := time.Hour
		if replica.confirmedAt >= 0 {
			age = sim.now - replica.confirmedAt
		}
		sim.send(&replica.partition, &sidecar.partition, &sidecar.pausedUntil, func() {
			if sidecar.replica == replicaIndex {
				sim.applyUpdates(sidecar, updates, sim.base.Add(sentAt-age))
			}
		})
	})
}

// applyUpdates applies updates of the watched replica and renews the lease as of asOf.
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

// checkAdmission checks the guarantee of a lease if the sidecar would admit a request now: no
// revision that the sidecar has not applied was committed more than LeaseDuration ago. After the
// outage, revisions in unconfirmed are counted rather than reported.
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
