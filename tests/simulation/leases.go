package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/watch"
)

// ServingLeases is a run of the claims: cores that look at one another and pass words
// on, and sidecars that follow and admit, through delays, losses, cuts and
// freezes. Feeds and claims are the production's.
type ServingLeases struct {
	clock
	rng      *rand.Rand
	base     time.Time
	replicas []*leaseReplica
	sidecars []*leaseSidecar
	ackedAt  []time.Duration // when each stamp was acknowledged; index is stamp-1
	// committedAt is when a majority of cores had accepted each stamp.
	committedAt []time.Duration
	// unacknowledged marks stamps that were acknowledged, after the longest wait, though
	// most sidecars had not taken them.
	unacknowledged map[uint64]bool
	// outageAt is when all cores lose power for good; zero if they don't.
	outageAt time.Duration
	// Violations lists what must never happen and did; the others count. Agreed are
	// admissions by roll call.
	Violations                                        []string
	Admitted, AdmittedByPeers, Lapsed, Unacknowledged int
}

type leaseReplica struct {
	frozenUntil  time.Duration
	partition    int
	accepted     uint64
	watch        *watch.EventLog
	confirmedAt  time.Duration // as of when; negative if never
	reading      bool          // a look waits for its stamp to be settled
	readBegan    time.Duration
	readRevision uint64
}

type leaseSidecar struct {
	addr        string
	frozenUntil time.Duration
	partition   int
	replica     int
	offset      watch.Request
	revision    uint64
	lease       endpoints.Lease
	updatedAt   time.Duration // news from a core
	peerLease   endpoints.Lease
	statements  membership.PeerStatusTable // what it heard of itself and others
}

// NewServingLeases lays a run out.
func NewServingLeases(seed uint64, cores, sides int) *ServingLeases {
	sim := &ServingLeases{rng: rand.New(rand.NewPCG(seed, 13)), base: time.Now(), unacknowledged: map[uint64]bool{}}
	if seed%2 == 0 {
		sim.outageAt = 10*time.Second + sim.randomDuration(40*time.Second)
	}
	for i := range cores {
		sim.replicas = append(sim.replicas, &leaseReplica{watch: watch.NewEventLog(uint64(i)*1000+1, 0), confirmedAt: -1})
	}
	for i := range sides {
		sim.sidecars = append(sim.sidecars, &leaseSidecar{addr: fmt.Sprint(i), replica: i % cores})
	}
	return sim
}

func (sim *ServingLeases) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d) + 1))
}

// every does something again and again, at about an interval.
func (sim *ServingLeases) every(interval time.Duration, action func()) {
	sim.after(sim.randomDuration(2*interval), func() { action(); sim.every(interval, action) })
}

// send carries a message, late or lost; a frozen receiver gets it on waking.
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

// Run runs it for a while of simulated time.
func (sim *ServingLeases) Run(d time.Duration) {
	sim.every(700*time.Millisecond, sim.write)
	sim.every(3*time.Second, sim.injectFaults)
	if sim.outageAt > 0 {
		sim.after(sim.outageAt, func() {
			for _, replica := range sim.replicas {
				replica.frozenUntil = 2 * d // what was on its way is lost
			}
		})
	}
	for _, replica := range sim.replicas {
		sim.every(300*time.Millisecond, func() { sim.ifAwake(replica.frozenUntil, func() { sim.quorumRead(replica) }) })
		sim.every(100*time.Millisecond, func() {
			sim.ifAwake(replica.frozenUntil, func() { replica.watch.DetectPause(sim.now); replica.watch.Tick(sim.now) })
		})
	}
	for _, sidecar := range sim.sidecars {
		sim.every(300*time.Millisecond, func() { sim.ifAwake(sidecar.frozenUntil, func() { sim.watchReplica(sidecar) }) })
		sim.every(50*time.Millisecond, func() { sim.ifAwake(sidecar.frozenUntil, func() { sim.checkAdmission(sidecar) }) })
		sim.every(500*time.Millisecond, func() { sim.ifAwake(sidecar.frozenUntil, func() { sim.queryPeers(sidecar) }) })
	}
	sim.run(d)
}

func (sim *ServingLeases) ifAwake(frozenUntil time.Duration, action func()) {
	if frozenUntil <= sim.now {
		action()
	}
}

// write puts a word: each core accepts it when it comes, it is acknowledged
// when a majority has, and then it is told.
func (sim *ServingLeases) write() {
	if sim.controlPlaneDown() {
		return
	}
	revision := uint64(len(sim.ackedAt) + 1)
	if revision > 1 && sim.ackedAt[revision-2] == 0 {
		return // the one before is still on its way
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
						sim.acknowledge(revision, sim.now+time.Second)
					}
				})
			})
		}
		sim.after(400*time.Millisecond, propose)
	}
	propose()
}

// acknowledge waits until all sidecars have a stamp, for a second at most, or at
// least most of them, for three.
func (sim *ServingLeases) acknowledge(revision uint64, until time.Duration) {
	applied := 0
	for _, sidecar := range sim.sidecars {
		if sidecar.revision >= revision {
			applied++
		}
	}
	timedOut := sim.now >= until && (applied > len(sim.sidecars)/2 || sim.now >= until+2*time.Second)
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
		sim.unacknowledged[revision] = true
	}
}

// controlPlaneDown tells whether all cores are dead by now.
func (sim *ServingLeases) controlPlaneDown() bool { return sim.outageAt > 0 && sim.now >= sim.outageAt }

// isolated tells whether a sidecar finds that no majority of cores lives: their
// machines refuse it.
func (sim *ServingLeases) isolated(sidecar *leaseSidecar) bool {
	refused := 0
	for _, replica := range sim.replicas {
		if sim.controlPlaneDown() && replica.partition == sidecar.partition {
			refused++
		}
	}
	return refused >= consensus.Majority(len(sim.replicas))
}

// queryPeers asks a few of the other sidecars while no core tells, and counts what they
// heard of all others too.
func (sim *ServingLeases) queryPeers(sidecar *leaseSidecar) {
	if sim.now-sidecar.updatedAt < time.Second {
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
			statements, revision := peer.statements.Report(sim.peer(peer), membership.NewView(nil, nil), sim.base.Add(sim.now)), peer.revision
			sim.send(&peer.partition, &sidecar.partition, &sidecar.frozenUntil, func() {
				if revision > sidecar.revision {
					sim.fetch(sidecar, peer)
				}
				if sim.now-begin > 400*time.Millisecond {
					return // nobody waits for it any more
				}
				sidecar.statements = sidecar.statements.Observe(sidecar.addr, statements, sim.base.Add(begin), sim.base.Add(sim.now))
				if asOf, ok := sidecar.statements.ConfirmedAsOf(sidecar.addr, sidecar.revision, known, sim.base.Add(sim.now)); ok {
					sidecar.peerLease.Renew(asOf)
				}
			})
		})
	}
}

// peer is what a sidecar tells of itself.
func (sim *ServingLeases) peer(sidecar *leaseSidecar) membership.Peer {
	return membership.Peer{Addr: sidecar.addr, Incarnation: 1, Status: &membership.PeerStatus{AppliedRevision: sidecar.revision, QuorumLost: sim.isolated(sidecar)}}
}

// fetch asks one sidecar for its word.
func (sim *ServingLeases) fetch(sidecar, peer *leaseSidecar) {
	sim.send(&sidecar.partition, &peer.partition, &peer.frozenUntil, func() {
		revision := peer.revision
		sim.send(&peer.partition, &sidecar.partition, &sidecar.frozenUntil, func() { sidecar.revision = max(sidecar.revision, revision) })
	})
}

// quorumRead asks a majority, and learns of settled words as cores do: late.
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
				for _, v := range replies {
					newest = max(newest, v)
				}
				if !replica.reading || begin > replica.readBegan && newest <= replica.readRevision {
					replica.reading, replica.readBegan, replica.readRevision = true, begin, newest
				}
				// The settled word of that stamp comes some time.
				if newest > 0 && len(sim.committedAt) >= int(newest) {
					replica.watch.ObserveCommitted(config.ControlState{Revision: newest})
				}
				sim.confirmRead(replica)
			})
		})
	}
}

func (sim *ServingLeases) confirmRead(replica *leaseReplica) {
	var committed uint64
	if state := replica.watch.State(); state != nil {
		committed = state.Revision
	}
	if replica.reading && committed >= replica.readRevision {
		replica.reading, replica.confirmedAt = false, replica.readBegan
	}
}

// watchReplica asks the core; what it is sure of counts from when it was asked.
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

// checkAdmission checks the gate's promise at a moment at which it would admit.
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
			if sim.controlPlaneDown() && sim.unacknowledged[i+1] {
				sim.Unacknowledged++
				continue
			}
			sim.Violations = append(sim.Violations, fmt.Sprintf("%v: admitted at stamp %d, %v after a majority had taken %d", sim.now, sidecar.revision, sim.now-committedAt[i], i+1))
		}
	}
}

// injectFaults cuts, mends and freezes.
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
