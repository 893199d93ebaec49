package simulation

import (
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// write commits the next revision: each replica accepts it when the message comes, and it is
// acknowledged once a majority has accepted it and the sidecars had time to apply it.
func (sim *ServingLeases) write() {
	if sim.controlPlaneDown() {
		return
	}
	revision := uint64(len(sim.ackedAt) + 1)
	if revision > 1 && sim.ackedAt[revision-2] == 0 {
		return // the one before is still in flight
	}
	sim.ackedAt = append(sim.ackedAt, 0)
	from := sim.replicas[sim.rng.IntN(len(sim.replicas))]
	sim.propose(from, revision, map[*leaseReplica]bool{})
}

// propose sends a revision to all replicas, again and again until it is acknowledged.
// accepted collects those that have accepted it.
func (sim *ServingLeases) propose(from *leaseReplica, revision uint64, accepted map[*leaseReplica]bool) {
	if sim.ackedAt[revision-1] != 0 {
		return
	}
	for _, replica := range sim.replicas {
		sim.send(&from.partition, &replica.partition, &replica.frozenUntil, func() {
			replica.accepted = max(replica.accepted, revision)
			sim.send(&replica.partition, &from.partition, &from.frozenUntil, func() {
				accepted[replica] = true
				sim.commit(revision, len(accepted))
			})
		})
	}
	sim.after(400*time.Millisecond, func() { sim.propose(from, revision, accepted) })
}

// commit commits a revision if a majority has accepted it, and has it acknowledged.
func (sim *ServingLeases) commit(revision uint64, accepted int) {
	if accepted >= consensus.Majority(len(sim.replicas)) && len(sim.committedAt) < int(revision) {
		sim.committedAt = append(sim.committedAt, sim.now)
		sim.acknowledge(revision, sim.now+ackTimeout)
	}
}

// acknowledge acknowledges a revision once all sidecars have applied it; after until, once most
// of them have; and ackMajorityTimeout later in any case.
func (sim *ServingLeases) acknowledge(revision uint64, until time.Duration) {
	applied := 0
	for _, sidecar := range sim.sidecars {
		if sidecar.revision >= revision {
			applied++
		}
	}
	timedOut := sim.now >= until && (applied > len(sim.sidecars)/2 || sim.now >= until+ackMajorityTimeout)
	if sim.ackedAt[revision-1] != 0 || applied < len(sim.sidecars) && !timedOut {
		sim.after(20*time.Millisecond, func() {
			if sim.ackedAt[revision-1] == 0 && !sim.controlPlaneDown() {
				sim.acknowledge(revision, until)
			}
		})
		return
	}
	sim.ackedAt[revision-1] = sim.now
	if applied <= len(sim.sidecars)/2 {
		sim.unconfirmed[revision] = true
	}
}

// quorumRead reads from a majority. As in production, a replica learns only later that what it
// read is committed.
func (sim *ServingLeases) quorumRead(replica *leaseReplica) {
	began := sim.now
	replies := map[*leaseReplica]uint64{}
	for _, peer := range sim.replicas {
		sim.send(&replica.partition, &peer.partition, &peer.frozenUntil, func() {
			accepted := peer.accepted
			sim.send(&peer.partition, &replica.partition, &replica.frozenUntil, func() {
				replies[peer] = accepted
				if len(replies) == consensus.Majority(len(sim.replicas)) {
					sim.completeRead(replica, began, slices.Max(slices.Collect(maps.Values(replies))))
				}
			})
		})
	}
}

// completeRead ends a read that began at a moment, in which a majority has replied with newest
// as the newest revision.
func (sim *ServingLeases) completeRead(replica *leaseReplica, began time.Duration, newest uint64) {
	if !replica.reading || began > replica.readBegan && newest <= replica.readRevision {
		replica.reading, replica.readBegan, replica.readRevision = true, began, newest
	}
	// That revision is committed here some time later.
	if newest > 0 && len(sim.committedAt) >= int(newest) {
		replica.watch.ObserveCommitted(config.ControlState{Revision: newest})
	}
	sim.confirmRead(replica)
}

// confirmRead ends a quorum read once its revision is committed here.
func (*ServingLeases) confirmRead(replica *leaseReplica) {
	var committed uint64
	if state := replica.watch.State(); state != nil {
		committed = state.Revision
	}
	if replica.reading && committed >= replica.readRevision {
		replica.reading, replica.confirmedAt = false, replica.readBegan
	}
}
