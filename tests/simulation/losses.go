package simulation

import (
	"slices"
	"time"

	"curlewwalk/internal/controlplane/consensus"
)

const (
	// recoveryTime is how long returned and new replicas have to recover before the next loss.
	recoveryTime = 4 * time.Second
	// serviceBound is how long a tolerated loss may interrupt writes and reads.
	serviceBound = 8 * time.Second
	// maxOutage is the maximum outage of a replica before it returns or is replaced.
	maxOutage = 6 * time.Second
	// leaveInterval and leaveTimeout are the interval and the time limit of the attempts of a
	// stopping replica to leave the member set.
	leaveInterval = 100 * time.Millisecond
	leaveTimeout  = 2 * time.Second
)

// NoFaults has no random faults. Only the faults that the simulation injects itself occur.
var NoFaults = Faults{Delay: 40 * time.Millisecond}

// Losses is a simulation in which as many replicas as the member set tolerates are lost at
// once. They return or are replaced, and recoveryTime later others are lost. Between two losses
// a replica may be replaced as planned: a new replica joins, then the old one is stopped. The
// next loss follows the stop without time to recover.
type Losses struct {
	*Consensus
	replicaCount int
	// Slowest is the longest interruption of writes or reads by a loss.
	Slowest time.Duration
	// PlannedReplacements counts planned replacements, LostReplicas the lost replicas.
	PlannedReplacements, LostReplicas int
}

// NewLosses returns a simulation with size replicas. Up to three of them found the cluster.
func NewLosses(seed uint64, size int) *Losses {
	return &Losses{Consensus: NewDynamicMembership(seed, min(size, 3), NoFaults), replicaCount: size}
}

// Run runs the given number of rounds of losses. It stops after the first round with a violation.
func (sim *Losses) Run(rounds int) {
	for len(sim.replicas) < sim.replicaCount {
		sim.join()
	}
	sim.run(recoveryTime)
	for range rounds {
		if sim.rng.IntN(2) == 0 {
			sim.replacePlanned()
		}
		sim.write()
		sim.run(sim.now + sim.randomDuration(200*time.Millisecond))
		back := sim.loseTolerated()
		sim.awaitService()
		sim.run(max(sim.now, back) + recoveryTime)
		sim.checkRepaired()
		if len(sim.Violations) > 0 {
			return
		}
	}
}

// tolerated returns how many replicas may be lost at once.
func (sim *Losses) tolerated() int { return (sim.replicaCount - 1) / 2 }

// loseTolerated makes as many replicas fail as are tolerated, and returns the time at which all
// are back or replaced.
func (sim *Losses) loseTolerated() (back time.Duration) {
	present := sim.present()
	for _, i := range sim.rng.Perm(len(present))[:sim.tolerated()] {
		r, outage := present[i], sim.randomDuration(maxOutage)
		sim.LostReplicas++
		switch sim.rng.IntN(5) {
		case 0:
			sim.trace(r, "loses power and its disk")
			sim.powerOff(r)
			r.disk = consensus.Bootstrap{InitialMembers: sim.founders, AdvertiseAddr: r.addr}.InitialState(sim.rng.Uint64() | 1)
			sim.after(outage, func() { sim.start(r) })
		case 1:
			sim.removePermanently(r)
			sim.after(outage, sim.join)
		case 2:
			sim.trace(r, "loses power")
			sim.powerOff(r)
			sim.after(outage, func() { sim.start(r) })
		case 3:
			sim.trace(r, "is paused")
			r.pausedUntil = sim.now + outage
		default:
			sim.trace(r, "is partitioned")
			r.partition = 1 + i
			sim.after(outage, func() { r.partition = 0 })
		}
		back = max(back, sim.now+outage)
	}
	return back
}

// powerOff stops a replica and keeps its disk.
func (*Losses) powerOff(r *replica) {
	r.up = false
	r.incarnation++
}

// replacePlanned replaces a replica as planned: a new replica joins, then the old one leaves the
// member set and stops.
func (sim *Losses) replacePlanned() {
	present := sim.present()
	old := present[sim.rng.IntN(len(present))]
	sim.join()
	sim.run(sim.now + recoveryTime)
	sim.trace(old, "is stopped")
	old.leaving = true
	for end := sim.now + leaveTimeout; sim.now < end && old.acceptor.Phase == consensus.PhaseEstablished; {
		command, ok := consensus.PlanLeave(old.acceptor)
		if !ok && len(old.acceptor.MemberSets().Previous) == 0 {
			break
		}
		if coordinator := sim.coordinatorOf(old); ok && coordinator.up {
			sim.submit(coordinator, command, func(consensus.CommandResult) {})
		}
		sim.run(sim.now + leaveInterval)
	}
	sim.removePermanently(old)
	sim.PlannedReplacements++
}

// awaitService retries until a write is acknowledged and a read completes, for at most
// serviceBound.
func (sim *Losses) awaitService() {
	began, acked, reads := sim.now, sim.Acked, sim.Reads
	for sim.Acked == acked || sim.Reads == reads {
		if sim.now-began > serviceBound {
			sim.violation("no write or no read within %v after a tolerated loss: %s", serviceBound, sim.describe())
			return
		}
		sim.write()
		sim.read()
		sim.run(sim.now + 200*time.Millisecond)
	}
	sim.Slowest = max(sim.Slowest, sim.now-began)
}

// checkRepaired checks that all replicas are members again, that no change of the member set is
// pending, and that the member set tolerates the next loss.
func (sim *Losses) checkRepaired() {
	members := map[int]bool{}
	present := sim.present()
	for _, r := range present {
		if !r.acceptor.IsMember() || len(r.acceptor.MemberSets().Previous) > 0 {
			sim.violation("%s is not a full member %v after all replicas were back: %s", r.addr, recoveryTime, sim.describe())
			return
		}
		members[r.acceptor.Self.MemberID] = true
	}
	for _, r := range present {
		set := consensus.MemberIDs(r.acceptor.MemberSets().Current)
		live := len(set) - len(slices.DeleteFunc(slices.Clone(set), func(s int) bool { return members[s] }))
		if live-sim.tolerated() < consensus.Majority(len(set)) {
			sim.violation("%d of members %v are live, which does not tolerate %d losses: %s", live, set, sim.tolerated(), sim.describe())
			return
		}
	}
}
