package simulation

import (
	"slices"
	"time"

	"curlewwalk/internal/controlplane/consensus"
)

const (
	// recoveryTime is how long cores that are back, or new, have until others may be lost.
	recoveryTime = 4 * time.Second
	// serviceBound bounds how long a loss that the set bears may hold up orders and reads.
	serviceBound = 8 * time.Second
	// maxOutage is for how long a core that will be back may be away.
	maxOutage = 6 * time.Second
	// leaveInterval and leaveFor are those of a core that is stopped (core.leave).
	leaveInterval = 100 * time.Millisecond
	leaveTimeout  = 2 * time.Second
)

// NoFaults has no failures but those that a run brings about itself.
var NoFaults = Faults{Delay: 40 * time.Millisecond}

// Losses is a run in which as many cores as the set bears are lost at once; they come
// back, or empty ones in their place; and settleFor later others are lost. Between two
// losses a core may be replaced as planned: the new one first, then the old one stopped,
// which leaves no time before the next loss.
type Losses struct {
	*Consensus
	replicaCount int
	// Slowest is the longest that a loss held up orders and reads; Planned counts
	// planned replacements, Lost the cores lost.
	Slowest                           time.Duration
	PlannedReplacements, LostReplicas int
}

// NewLosses lays out a run of so many cores, up to three of which found the system.
func NewLosses(seed uint64, size int) *Losses {
	return &Losses{Consensus: NewDynamicMembership(seed, min(size, 3), NoFaults), replicaCount: size}
}

// Run runs so many rounds.
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

// tolerated is how many cores may be lost at once.
func (sim *Losses) tolerated() int { return (sim.replicaCount - 1) / 2 }

func (sim *Losses) present() (out []*replica) {
	for _, r := range sim.replicas {
		if !r.removed {
			out = append(out, r)
		}
	}
	return out
}

// loseTolerated has as many cores as may be lost go at once, and tells when all are back.
func (sim *Losses) loseTolerated() (back time.Duration) {
	present := sim.present()
	for _, i := range sim.rng.Perm(len(present))[:sim.tolerated()] {
		r, outage := present[i], sim.randomDuration(maxOutage)
		sim.LostReplicas++
		switch sim.rng.IntN(5) {
		case 0:
			sim.trace(r, "is lost with its disk and comes back")
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
			sim.trace(r, "freezes")
			r.frozenUntil = sim.now + outage
		default:
			sim.trace(r, "is cut off")
			r.partition = 1 + i
			sim.after(outage, func() { r.partition = 0 })
		}
		back = max(back, sim.now+outage)
	}
	return back
}

func (*Losses) powerOff(r *replica) {
	r.up = false
	r.incarnation++
}

// replacePlanned replaces a core as planned: it is stopped once a new one is a member.
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

// awaitService waits until an order is acknowledged and a read answered.
func (sim *Losses) awaitService() {
	began, acked, reads := sim.now, sim.Acked, sim.Reads
	for sim.Acked == acked || sim.Reads == reads {
		if sim.now-began > serviceBound {
			sim.violation("no order or no read in %v after a loss that the set bears: %s", serviceBound, sim.describe())
			return
		}
		sim.write()
		sim.read()
		sim.run(sim.now + 200*time.Millisecond)
	}
	sim.Slowest = max(sim.Slowest, sim.now-began)
}

// checkRepaired checks that all cores are members again, and that the set bears the next loss.
func (sim *Losses) checkRepaired() {
	members := map[int]bool{}
	present := sim.present()
	for _, r := range present {
		if !r.acceptor.IsMember() || len(r.acceptor.MemberSets().Previous) > 0 {
			sim.violation("%s is no full member %v after all were back: %s", r.addr, recoveryTime, sim.describe())
			return
		}
		members[r.acceptor.Self.MemberID] = true
	}
	for _, r := range present {
		set := consensus.MemberIDs(r.acceptor.MemberSets().Current)
		live := len(set) - len(slices.DeleteFunc(slices.Clone(set), func(s int) bool { return members[s] }))
		if live-sim.tolerated() < consensus.Majority(len(set)) {
			sim.violation("%d of %v live, which does not bear %d losses: %s", live, set, sim.tolerated(), sim.describe())
			return
		}
	}
}
