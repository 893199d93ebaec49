package simulation

import (
	"fmt"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/watch"
)

// ServingLeases simulates the leases that allow sidecars to admit requests. Replicas do quorum
// reads and publish committed revisions. Sidecars watch replicas, renew their leases and admit
// requests. Messages are delayed and lost, and processes are partitioned and paused. The event
// logs, leases and peer status tables are production code.
type ServingLeases struct {
	randomClock
	base     time.Time // wall-clock time at the start
	replicas []*leaseReplica
	sidecars []*leaseSidecar
	// ackedAt is the time at which each revision was acknowledged, committedAt the time at
	// which a majority of the replicas had accepted it. The index is the revision minus 1.
	ackedAt     []time.Duration
	committedAt []time.Duration
	// unconfirmed are the revisions that were acknowledged after the maximum wait although no
	// majority of the sidecars had applied them.
	unconfirmed map[uint64]bool
	// outageAt is when all replicas lose power permanently, or zero if they do not.
	outageAt time.Duration
	// Violations describes each violation of an invariant.
	Violations []string
	// Admitted counts admissions under a lease that a replica renewed, AdmittedByPeers those
	// under a lease that other sidecars renewed. Lapsed counts the checks without a valid
	// lease. Unconfirmed counts, for each admission after the outage, the unconfirmed
	// revisions that the sidecar had not applied.
	Admitted, AdmittedByPeers, Lapsed, Unconfirmed int
}

// leaseReplica is a control plane replica.
type leaseReplica struct {
	pausedUntil  time.Duration
	partition    int
	accepted     uint64 // the newest revision
	watch        *watch.EventLog
	confirmedAt  time.Duration // the log is known to have been current at this time; negative if never
	reading      bool          // a quorum read is waiting for its revision to be committed at this replica
	readBegan    time.Duration
	readRevision uint64
}

// leaseSidecar is a sidecar that watches one replica.
type leaseSidecar struct {
	addr        string
	pausedUntil time.Duration
	partition   int
	replica     int // index of the replica that it watches
	offset      watch.Request
	revision    uint64 // the applied revision
	lease       endpoints.Lease
	updatedAt   time.Duration // when a replica last answered
	peerLease   endpoints.Lease
	peers       membership.PeerStatusTable
}

// Time limits of acknowledgements and of queries between sidecars.
const (
	// ackTimeout is how long an acknowledgement waits for all sidecars to apply the revision.
	// ackMajorityTimeout is how much longer it waits for a majority of them.
	ackTimeout         = time.Second
	ackMajorityTimeout = 2 * time.Second
	// queryAfter is how long after the last answer of a replica a sidecar starts to query
	// other sidecars.
	queryAfter = time.Second
	// queryTimeout is how long a sidecar waits for the answer to a query.
	queryTimeout = 400 * time.Millisecond
)

// NewServingLeases returns a simulation with the given numbers of replicas and sidecars. With
// an even seed all replicas lose power permanently at a random time.
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

// send delivers a message, which may be lost or delayed. A paused receiver gets the message when
// it resumes.
func (sim *ServingLeases) send(fromPartition, toPartition *int, toPausedUntil *time.Duration, deliver func()) {
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
		sim.after(max(0, *toPausedUntil-sim.now), deliver)
	})
}

// Run runs the simulation for d of simulated time.
func (sim *ServingLeases) Run(d time.Duration) {
	sim.repeat(700*time.Millisecond, forever, sim.write)
	sim.repeat(3*time.Second, forever, sim.injectFaults)
	if sim.outageAt > 0 {
		sim.after(sim.outageAt, func() {
			for _, replica := range sim.replicas {
				replica.pausedUntil = 2 * d // paused beyond the end of the run, so messages in flight are lost
			}
		})
	}
	for _, replica := range sim.replicas {
		sim.whileRunning(300*time.Millisecond, &replica.pausedUntil, func() { sim.quorumRead(replica) })
		sim.whileRunning(100*time.Millisecond, &replica.pausedUntil, func() { replica.watch.DetectPause(sim.now); replica.watch.Tick(sim.now) })
	}
	for _, sidecar := range sim.sidecars {
		sim.whileRunning(300*time.Millisecond, &sidecar.pausedUntil, func() { sim.watchReplica(sidecar) })
		sim.whileRunning(50*time.Millisecond, &sidecar.pausedUntil, func() { sim.checkAdmission(sidecar) })
		sim.whileRunning(500*time.Millisecond, &sidecar.pausedUntil, func() { sim.queryPeers(sidecar) })
	}
	sim.run(d)
}

// whileRunning runs an action repeatedly, except while its process is paused.
func (sim *ServingLeases) whileRunning(interval time.Duration, pausedUntil *time.Duration, action func()) {
	sim.repeat(interval, forever, func() {
		if *pausedUntil <= sim.now {
			action()
		}
	})
}

// controlPlaneDown reports whether all replicas have lost power.
func (sim *ServingLeases) controlPlaneDown() bool { return sim.outageAt > 0 && sim.now >= sim.outageAt }

// injectFaults draws new partitions and pauses random processes.
func (sim *ServingLeases) injectFaults() {
	for _, replica := range sim.replicas {
		replica.partition = sim.rng.IntN(4) / 3
		if sim.rng.IntN(6) == 0 && !sim.controlPlaneDown() {
			replica.pausedUntil = sim.now + sim.randomDuration(8*time.Second)
		}
	}
	for _, sidecar := range sim.sidecars {
		sidecar.partition = sim.rng.IntN(4) / 3
		if sim.rng.IntN(6) == 0 {
			sidecar.pausedUntil = sim.now + sim.randomDuration(8*time.Second)
		}
		for _, replica := range sim.replicas {
			if sim.controlPlaneDown() {
				break
			}
			replica.watch.ObserveNode(membership.Node{Addr: "any"}, sim.now)
		}
	}
}
