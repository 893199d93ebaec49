package simulation

import (
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// write proposes the next revision. Each replica accepts the revision when the message arrives.
// The revision is acknowledged once a majority of the replicas has accepted it and the sidecars
// have applied it or the wait for them has ended.
func (sim *ServingLeases) write() {
	if sim.controlPlaneDown() {
		return
	}
	revision := uint64(len(sim.ackedAt) + 1)
	if revision > 1 && sim.ackedAt[revision-2] == 0 {
		return // the previous revision is not acknowledged yet
	}
	sim.ackedAt = append(sim.ackedAt, 0)
	from := sim.replicas[sim.rng.IntN(len(sim.replicas))]
	sim.propose(from, revision, map[*leaseReplica]bool{})
}

// propose sends a revision to all replicas repeatedly until the revision is acknowledged. accepted
// collects the replicas that have accepted it.
func (sim *ServingLeases) propose(from *leaseReplica, revision uint64, accepted map[*leaseReplica]bool) {
	if sim.ackedAt[revision-1] != 0 {
		return
	}
	for _, replica := range sim.replicas {
		sim.send(&from.partition, &replica.partition, &replica.pausedUntil, func() {
			replica.accepted = max(replica.accepted, revision)
			sim.send(&replica.partition, &from.partition, &from.pausedUntil, func() {
				accepted[replica] = true
				sim.commit(revision, len(accepted))
			})
		})
	}
	sim.after(400*time.Millisecond, func() { sim.propose(from, revision, accepted) })
}

// commit commits a revision if a majority has accepted it, and starts its acknowledgement.
func (sim *ServingLeases) commit(revision uint64, accepted int) {
	if accepted >= consensus.Majority(len(sim.replicas)) && len(sim.committedAt) < int(revision) {
		sim.committedAt = append(sim.committedAt, sim.now)
		sim.acknowledge(revision, sim.now+ackTimeout)
	}
}

// acknowledge acknowledges a revision once all sidecars have applied it. From until on, a majority
// of the sidecars suffices. From ackMajorityTimeout after until on, the revision is acknowledged in
// any case.
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

// quorumRead reads the newest accepted revision from a majority. As in production, the replica
// learns only later that this revision is committed.
func (sim *ServingLeases) quorumRead(replica *leaseReplica) {
	began := sim.now
	replies := map[*leaseReplica]uint64{}
	for _, peer := range sim.replicas {
		sim.send(&replica.partition, &peer.partition, &peer.pausedUntil, func() {
			accepted := peer.accepted
			sim.send(&peer.partition, &replica.partition, &replica.pausedUntil, func() {
				replies[peer] = accepted
				if len(replies) == consensus.Majority(len(sim.replicas)) {
					sim.completeRead(replica, began, slices.Max(slices.Collect(maps.Values(replies))))
				}
			})
		})
	}
}

// completeRead handles the replies of a majority to a read that began at began. newest is the
// newest revision in the replies.
func (sim *ServingLeases) completeRead(replica *leaseReplica, began time.Duration, newest uint64) {
	if !replica.reading || began > replica.readBegan && newest <= replica.readRevision {
		replica.reading, replica.readBegan, replica.readRevision = true, began, newest
	}
	// The replica learns that the revision is committed once a majority has accepted it.
	if newest > 0 && len(sim.committedAt) >= int(newest) {
		replica.watch.ObserveCommitted(config.ControlState{Revision: newest})
	}
	sim.confirmRead(replica)
}

// confirmRead completes the pending quorum read if its revision is committed at the replica.
func (*ServingLeases) confirmRead(replica *leaseReplica) {
	var committed uint64
	if state := replica.watch.State(); state != nil {
		committed = state.Revision
	}
	if replica.reading && committed >= replica.readRevision {
		replica.reading, replica.confirmedAt = false, replica.readBegan
	}
}
