package simulation

import (
	"fmt"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/watch"
)

// ServingLeases is a run of the leases that allow sidecars to admit requests: replicas do
// quorum reads and pass on committed revisions, and sidecars watch, renew their leases and
// admit, under delays, losses, partitions and freezes. The event logs, leases and peer
// status tables are the production's.
type ServingLeases struct {
	randomClock
	base     time.Time // wall time at the beginning
	replicas []*leaseReplica
	sidecars []*leaseSidecar
	// ackedAt is when each revision was acknowledged, and committedAt when a majority of
	// replicas had accepted it; the index is the revision less one.
	ackedAt     []time.Duration
	committedAt []time.Duration
	// unconfirmed are the revisions that were acknowledged, after the longest wait, though
	// most sidecars had not applied them.
	unconfirmed map[uint64]bool
	// outageAt is when all replicas lose power for good; zero if they don't.
	outageAt time.Duration
	// Violations lists what must never happen and did.
	Violations []string
	// Admitted counts admissions under a lease from a replica, AdmittedByPeers those under
	// one that other sidecars confirmed, Lapsed the moments without any, and
	// Unconfirmed admissions at a revision older than one of unconfirmed.
	Admitted, AdmittedByPeers, Lapsed, Unconfirmed int
}

// leaseReplica is a control plane replica.
type leaseReplica struct {
	frozenUntil  time.Duration
	partition    int
	accepted     uint64 // the newest revision
	watch        *watch.EventLog
	confirmedAt  time.Duration // as of when the log is known to be current; negative if never
	reading      bool          // a quorum read waits until its revision is committed here
	readBegan    time.Duration
	readRevision uint64
}

// leaseSidecar is a sidecar that watches one replica.
type leaseSidecar struct {
	addr        string
	frozenUntil time.Duration
	partition   int
	replica     int // index of the replica that it watches
	offset      watch.Request
	revision    uint64 // that it has applied
	lease       endpoints.Lease
	updatedAt   time.Duration // when a replica last answered
	peerLease   endpoints.Lease
	peers       membership.PeerStatusTable
}

// Bounds of acknowledgements and of queries between sidecars.
const (
	// ackTimeout is how long an acknowledgement waits for all sidecars; ackMajorityTimeout
	// how much longer for at least most of them.
	ackTimeout         = time.Second
	ackMajorityTimeout = 2 * time.Second
	// queryAfter is after how long without a replica a sidecar queries other sidecars.
	queryAfter = time.Second
	// queryTimeout is how long it waits for an answer.
	queryTimeout = 400 * time.Millisecond
)

// NewServingLeases prepares a run of so many replicas and sidecars. With an even seed all
// replicas lose power at some moment.
func NewServingLeases(seed uint64, replicas, sidecars int) *ServingLeases {
	sim := &ServingLeases{randomClock: newRandomClock(seed, 13), base: time.Now(), unconfirmed: map[uint64]bool{}}
	if seed%2 == 0 {
		sim.outageAt = 10*time.Second + sim.randomDuration(40*time.Second)
	}
	for i := range replicas {
		sim.replicas = append(sim.replicas, &leaseReplica{watch: watch.NewEventLog(uint64(i)*1000+1, 0), confirmedAt: -1})
	}
	for i := range sidecars {
		sim.sidecars = append(sim.sidecars, &leaseSidecar{addr: fmt.Sprint(i), replica: i % replicas})
	}
	return sim
}

// send delivers a message, which may be lost or late; a frozen receiver gets it on waking.
func (sim *ServingLeases) send(fromPartition, toPartition *int, toFrozenUntil *time.Duration, deliver func()) {
	if sim.rng.IntN(10) == 0 {
		return
	}
	d := sim.randomDuration(80 * time.Millisecond)
	if sim.rng.IntN(20) == 0 {
		d = sim.randomDuration(3 * time.Second)
	}
	sim.after(d, func() {
		if *fromPartition != *toPartition {
			return
		}
		sim.after(max(0, *toFrozenUntil-sim.now), deliver)
	})
}

// Run runs for d of simulated time.
func (sim *ServingLeases) Run(d time.Duration) {
	sim.repeat(700*time.Millisecond, forever, sim.write)
	sim.repeat(3*time.Second, forever, sim.injectFaults)
	if sim.outageAt > 0 {
		sim.after(sim.outageAt, func() {
			for _, replica := range sim.replicas {
				replica.frozenUntil = 2 * d // messages in flight are lost
			}
		})
	}
	for _, replica := range sim.replicas {
		sim.repeat(300*time.Millisecond, forever, func() { sim.ifAwake(replica.frozenUntil, func() { sim.quorumRead(replica) }) })
		sim.repeat(100*time.Millisecond, forever, func() {
			sim.ifAwake(replica.frozenUntil, func() { replica.watch.DetectPause(sim.now); replica.watch.Tick(sim.now) })
		})
	}
	for _, sidecar := range sim.sidecars {
		sim.repeat(300*time.Millisecond, forever, func() { sim.ifAwake(sidecar.frozenUntil, func() { sim.watchReplica(sidecar) }) })
		sim.repeat(50*time.Millisecond, forever, func() { sim.ifAwake(sidecar.frozenUntil, func() { sim.checkAdmission(sidecar) }) })
		sim.repeat(500*time.Millisecond, forever, func() { sim.ifAwake(sidecar.frozenUntil, func() { sim.queryPeers(sidecar) }) })
	}
	sim.run(d)
}

// ifAwake runs an action unless its process is frozen.
func (sim *ServingLeases) ifAwake(frozenUntil time.Duration, action func()) {
	if frozenUntil <= sim.now {
		action()
	}
}

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
	accepted := map[*leaseReplica]bool{}
	var propose func()
	propose = func() {
		if sim.ackedAt[revision-1] != 0 {
			return
		}
		for _, replica := range sim.replicas {
			sim.send(&from.partition, &replica.partition, &replica.frozenUntil, func() {
				replica.accepted = max(replica.accepted, revision)
				sim.send(&replica.partition, &from.partition, &from.frozenUntil, func() {
					if accepted[replica] = true; len(accepted) >= consensus.Majority(len(sim.replicas)) && len(sim.committedAt) < int(revision) {
						sim.committedAt = append(sim.committedAt, sim.now)
						sim.acknowledge(revision, sim.now+ackTimeout)
					}
				})
			})
		}
		sim.after(400*time.Millisecond, propose)
	}
	propose()
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

// controlPlaneDown reports whether all replicas have lost power.
func (sim *ServingLeases) controlPlaneDown() bool { return sim.outageAt > 0 && sim.now >= sim.outageAt }

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
	for _, i := range sim.rng.Perm(len(sim.sidecars))[:membership.Fanout] {
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
				if sim.now-begin > queryTimeout {
					return // timed out
				}
				sidecar.peers = sidecar.peers.Observe(sidecar.addr, reports, sim.base.Add(begin), sim.base.Add(sim.now))
				if asOf, ok := sidecar.peers.ConfirmedAsOf(sidecar.addr, sidecar.revision, known, sim.base.Add(sim.now)); ok {
					sidecar.peerLease.Renew(asOf)
				}
			})
		})
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

// quorumRead reads from a majority. As in production, a replica learns only later that what it
// read is committed.
func (sim *ServingLeases) quorumRead(replica *leaseReplica) {
	begin := sim.now
	replies := map[*leaseReplica]uint64{}
	for _, peer := range sim.replicas {
		sim.send(&replica.partition, &peer.partition, &peer.frozenUntil, func() {
			accepted := peer.accepted
			sim.send(&peer.partition, &replica.partition, &replica.frozenUntil, func() {
				replies[peer] = accepted
				if len(replies) != consensus.Majority(len(sim.replicas)) {
					return
				}
				var newest uint64
				for _, revision := range replies {
					newest = max(newest, revision)
				}
				if !replica.reading || begin > replica.readBegan && newest <= replica.readRevision {
					replica.reading, replica.readBegan, replica.readRevision = true, begin, newest
				}
				// That revision is committed here some time later.
				if newest > 0 && len(sim.committedAt) >= int(newest) {
					replica.watch.ObserveCommitted(config.ControlState{Revision: newest})
				}
				sim.confirmRead(replica)
			})
		})
	}
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
			if sidecar.replica != replicaIndex {
				return
			}
			sidecar.offset = watch.Request{LogID: updates.LogID, Offset: updates.Offset}
			for _, event := range updates.Events {
				if event.State != nil {
					sidecar.revision = max(sidecar.revision, event.State.Revision)
				}
			}
			sidecar.updatedAt = sim.now
			sidecar.lease.Renew(sim.base.Add(sentAt - age))
		})
	})
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

// injectFaults partitions, heals and freezes.
func (sim *ServingLeases) injectFaults() {
	for _, replica := range sim.replicas {
		replica.partition = sim.rng.IntN(4) / 3
		if sim.rng.IntN(6) == 0 && !sim.controlPlaneDown() {
			replica.frozenUntil = sim.now + sim.randomDuration(8*time.Second)
		}
	}
	for _, sidecar := range sim.sidecars {
		sidecar.partition = sim.rng.IntN(4) / 3
		if sim.rng.IntN(6) == 0 {
			sidecar.frozenUntil = sim.now + sim.randomDuration(8*time.Second)
		}
		for _, replica := range sim.replicas {
			if sim.controlPlaneDown() {
				break
			}
			replica.watch.ObserveNode(membership.Node{Addr: "any"}, sim.now)
		}
	}
}
