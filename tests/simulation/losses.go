package simulation

import (
	"slices"
	"time"

	"curlewwalk/internal/controlplane/consensus"
)

const (
	// recoveryTime is how long replicas that are back, or new, have before others are lost.
	recoveryTime = 4 * time.Second
	// serviceBound is how long a tolerated loss may hold up writes and reads.
	serviceBound = 8 * time.Second
	// maxOutage is how long a replica is away that comes back.
	maxOutage = 6 * time.Second
	// leaveInterval and leaveTimeout are those of a replica that is being stopped.
	leaveInterval = 100 * time.Millisecond
	leaveTimeout  = 2 * time.Second
)

// NoFaults has no failures but those that a run brings about itself.
var NoFaults = Faults{Delay: 40 * time.Millisecond}

// Losses is a run in which as many replicas as the member set tolerates are lost at once,
// come back or are replaced, and recoveryTime later others are lost. Between two losses a
// replica may be replaced as planned: the new one joins, then the old one is stopped, which
// leaves no time before the next loss.
type Losses struct {
	*Consensus
	replicaCount int
	// Slowest is the longest that a loss held up writes and reads.
	Slowest time.Duration
	// PlannedReplacements counts planned replacements, LostReplicas the replicas lost.
	PlannedReplacements, LostReplicas int
}

// NewLosses prepares a run of so many replicas, up to three of which found the cluster.
func NewLosses(seed uint64, size int) *Losses {
	return &Losses{Consensus: NewDynamicMembership(seed, min(size, 3), NoFaults), replicaCount: size}
}

// Run runs so many rounds of losses.
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

// tolerated is how many replicas may be lost at once.
func (sim *Losses) tolerated() int { return (sim.replicaCount - 1) / 2 }

// loseTolerated loses as many replicas as are tolerated, and returns when all are back.
func (sim *Losses) loseTolerated() (back time.Duration) {
	present := sim.present()
	for _, i := range sim.rng.Perm(len(present))[:sim.tolerated()] {
		r, outage := present[i], sim.randomDuration(maxOutage)
		sim.LostReplicas++
		switch sim.rng.IntN(5) {
		case 0:
			sim.trace(r, "is lost with its disk and restarts")
			sim.powerOff(r)
			r.disk = consensus.Bootstrap{InitialMembers: sim.founders, AdvertiseAddr: r.addr}.InitialState(sim.rng.Uint64() | 1)
			sim.after(outage, func() { sim.start(r) })
		case 1:
			sim.removeForGood(r)
			sim.after(outage, sim.join)
		case 2:
			sim.trace(r, "loses power")
			sim.powerOff(r)
			sim.after(outage, func() { sim.start(r) })
		case 3:
			sim.trace(r, "is frozen")
			r.frozenUntil = sim.now + outage
		default:
			sim.trace(r, "is partitioned")
			r.partition = 1 + i
			sim.after(outage, func() { r.partition = 0 })
		}
		back = max(back, sim.now+outage)
	}
	return back
}

// powerOff ends a replica; its disk stays.
func (*Losses) powerOff(r *replica) {
	r.up = false
	r.incarnation++
}

// replacePlanned replaces a replica as planned: it is stopped once a new one is a member.
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
	sim.removeForGood(old)
	sim.PlannedReplacements++
}

// awaitService waits until a write is acknowledged and a read answered.
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

// checkRepaired checks that all replicas are members again, and that the member set tolerates
// the next loss.
func (sim *Losses) checkRepaired() {
	members := map[int]bool{}
	present := sim.present()
	for _, r := range present {
		if !r.acceptor.IsMember() || len(r.acceptor.MemberSets().Previous) > 0 {
			sim.violation("%s is not a full member %v after all were back: %s", r.addr, recoveryTime, sim.describe())
			return
		}
		members[r.acceptor.Self.MemberID] = true
	}
	for _, r := range present {
		set := consensus.MemberIDs(r.acceptor.MemberSets().Current)
		live := len(set) - len(slices.DeleteFunc(slices.Clone(set), func(s int) bool { return members[s] }))
		if live-sim.tolerated() < consensus.Majority(len(set)) {
			sim.violation("%d of %v are live, which does not tolerate %d losses: %s", live, set, sim.tolerated(), sim.describe())
			return
		}
	}
}
