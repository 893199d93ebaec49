package simulation

import (
	"fmt"
	"time"

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
		sim.whileAwake(300*time.Millisecond, &replica.frozenUntil, func() { sim.quorumRead(replica) })
		sim.whileAwake(100*time.Millisecond, &replica.frozenUntil, func() { replica.watch.DetectPause(sim.now); replica.watch.Tick(sim.now) })
	}
	for _, sidecar := range sim.sidecars {
		sim.whileAwake(300*time.Millisecond, &sidecar.frozenUntil, func() { sim.watchReplica(sidecar) })
		sim.whileAwake(50*time.Millisecond, &sidecar.frozenUntil, func() { sim.checkAdmission(sidecar) })
		sim.whileAwake(500*time.Millisecond, &sidecar.frozenUntil, func() { sim.queryPeers(sidecar) })
	}
	sim.run(d)
}

// whileAwake runs an action at an interval, but not while its process is frozen.
func (sim *ServingLeases) whileAwake(interval time.Duration, frozenUntil *time.Duration, action func()) {
	sim.repeat(interval, forever, func() {
		if *frozenUntil <= sim.now {
			action()
		}
	})
}

// controlPlaneDown reports whether all replicas have lost power.
func (sim *ServingLeases) controlPlaneDown() bool { return sim.outageAt > 0 && sim.now >= sim.outageAt }

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
