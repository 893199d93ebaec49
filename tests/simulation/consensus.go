package simulation

import (
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// Faults says which failures a run brings about, and how often. An interval is a mean; zero
// means never.
type Faults struct {
	// Loss and Duplicate are the shares of messages that are lost or delivered twice.
	Loss, Duplicate float64
	// Delay is the longest that a message is on its way.
	Delay time.Duration
	// Kill is how often a replica is killed.
	Kill time.Duration
	// ReplaceDisk is how often a replica's disk is lost for good (static membership).
	ReplaceDisk time.Duration
	// Freeze is how often a replica stands still for a while.
	Freeze time.Duration
	// Partition is how often the network between the replicas is partitioned.
	Partition time.Duration
	// ChangeMembers is how often a replica joins, leaves for good, is replaced, or loses its
	// disk (dynamic membership).
	ChangeMembers time.Duration
	// Until is when the faults stop.
	Until time.Duration
}

// HarshFaults are the faults of runs with static membership.
var HarshFaults = Faults{
	Loss: 0.1, Duplicate: 0.1, Delay: 120 * time.Millisecond, Kill: 3 * time.Second, ReplaceDisk: 9 * time.Second,
	Freeze: 4 * time.Second, Partition: 5 * time.Second, Until: 40 * time.Second,
}

// MembershipFaults are the faults of runs whose replicas join and leave.
var MembershipFaults = Faults{
	Loss: 0.1, Duplicate: 0.1, Delay: 120 * time.Millisecond, Kill: 6 * time.Second,
	Freeze: 6 * time.Second, Partition: 8 * time.Second, ChangeMembers: 4 * time.Second, Until: 60 * time.Second,
}

// Limits of what a run must achieve after its faults.
const (
	// recoveryLimit is how long after the last fault the control plane may take to serve.
	recoveryLimit = 15 * time.Second
	// serveAttempts and rejoinAttempts are for how many seconds after that the run looks
	// for a write and a read, and for all replicas to be members.
	serveAttempts  = 40
	rejoinAttempts = 30
)

// Consensus is a run of the control plane's replicated state under faults, with operators
// that write, read and evacuate zones.
type Consensus struct {
	randomClock
	// members is how many members there are with static membership, or how many founded
	// the cluster.
	members int
	faults  Faults
	// replicas are all that have ever run; of those with one member ID the last one is
	// the current one.
	replicas    []*replica
	nextCommand uint64

	commands map[uint64]consensus.Command
	pending  map[uint64]func(consensus.CommandResult)
	// committed is the content of each committed revision, generations its generation.
	committed   map[uint64][]byte
	generations map[uint64]uint64
	// ackedRevision and ackedGeneration are the highest that were acknowledged.
	ackedRevision   uint64
	ackedGeneration uint64
	// dynamicMembership is set if no member is fixed by settings: replicas ask to join.
	dynamicMembership bool
	founders          []string
	// proposedSets are the member sets of proposals that may still be committed, by
	// revision.
	proposedSets map[uint64][]consensus.MemberSets
	newestState  config.ControlState // of the highest committed revision
	// highestGeneration is the highest that any operator used.
	highestGeneration uint64

	// Operators race with numbered configurations and evacuations.
	Operators *Operators
	// Trace, if set, gets a line for each step.
	Trace func(string)
	// Violations lists what must never happen and did.
	Violations []string
	// History is what operators requested and what they were answered.
	History History
	// Acked, Reads, Refused, DiskLosses and Kills count what the run did.
	Acked, Reads, Refused, DiskLosses, Kills int
	// Joins counts replicas that were added; Grown, Shrunk and Replaced count committed
	// changes of the member set; Removed the replicas that learned that they are no member
	// any more; Blackouts the losses of several disks at once.
	Joins, Grown, Shrunk, Replaced, Removed, Blackouts int
	// SlowestRejoin is how long after recoveryLimit all replicas were members again.
	SlowestRejoin time.Duration
}

// NewConsensus prepares a run with static membership of so many members.
func NewConsensus(seed uint64, members int, faults Faults) *Consensus {
	sim := &Consensus{
		randomClock: newRandomClock(seed, 7), members: members, faults: faults, commands: map[uint64]consensus.Command{},
		pending: map[uint64]func(consensus.CommandResult){}, committed: map[uint64][]byte{}, generations: map[uint64]uint64{}, proposedSets: map[uint64][]consensus.MemberSets{},
	}
	sim.Operators = newOperators(sim)
	for id := 1; id <= members; id++ {
		r := &replica{memberID: id, disk: sim.emptyAcceptor(id)}
		sim.replicas = append(sim.replicas, r)
		sim.after(sim.randomDuration(time.Second), func() { sim.start(r) })
	}
	return sim
}

// emptyAcceptor is the state of a static member with an empty disk.
func (sim *Consensus) emptyAcceptor(memberID int) consensus.Acceptor {
	return consensus.Acceptor{Self: consensus.Sender{MemberID: memberID, DiskID: sim.rng.Uint64() | 1}, StaticSize: sim.members, Phase: consensus.PhaseEmpty, MemberRecords: map[int]consensus.MemberRecord{}}
}

// Run brings faults about for a while, then none, and checks that the control plane serves
// again.
func (sim *Consensus) Run() {
	sim.repeat(250*time.Millisecond, sim.faults.Until, sim.write)
	sim.repeat(300*time.Millisecond, sim.faults.Until, sim.read)
	sim.Operators.run(sim.faults.Until)
	sim.repeat(sim.faults.Kill, sim.faults.Until, sim.killRandom)
	if sim.dynamicMembership {
		sim.repeat(sim.faults.ChangeMembers, sim.faults.Until, sim.changeMembers)
	} else {
		sim.repeat(sim.faults.ReplaceDisk, sim.faults.Until, sim.replaceDisk)
	}
	sim.repeat(sim.faults.Freeze, sim.faults.Until, sim.freezeRandom)
	sim.repeat(sim.faults.Partition, sim.faults.Until, sim.partition)
	sim.run(sim.faults.Until)
	for _, r := range sim.replicas {
		r.partition = 0
		if sim.shouldRun(r) && !r.up {
			sim.start(r)
		}
	}
	sim.checkRecovery()
	sim.Operators.checkFinal()
}

// checkRecovery checks that a write and a read succeed after the faults, and that all
// replicas become members.
func (sim *Consensus) checkRecovery() {
	quiet := sim.now + recoveryLimit
	sim.run(quiet)
	before := sim.Acked
	reads := sim.Reads
	for attempt := 0; attempt < serveAttempts && (sim.Acked == before || sim.Reads == reads); attempt++ {
		sim.write()
		sim.read()
		sim.run(sim.now + time.Second)
	}
	if sim.Acked == before || sim.Reads == reads {
		sim.violation("it does not serve %v after the last fault: %s", recoveryLimit, sim.describe())
	}
	for attempt := 0; sim.dynamicMembership && attempt < rejoinAttempts; attempt++ {
		why := sim.disagreement()
		if why == "" {
			sim.SlowestRejoin = max(sim.SlowestRejoin, sim.now-quiet)
			break
		}
		if attempt == rejoinAttempts-1 {
			sim.violation("%v after the last fault %s: %s", recoveryLimit+rejoinAttempts*time.Second, why, sim.describe())
		}
		sim.run(sim.now + time.Second)
	}
}

// shouldRun reports whether a replica is to be up: it is, unless it was removed or replaced.
func (sim *Consensus) shouldRun(r *replica) bool {
	if sim.dynamicMembership {
		return !r.removed
	}
	return r == sim.current(r.memberID)
}

// current is the replica that has a static member ID now.
func (sim *Consensus) current(memberID int) (last *replica) {
	for _, r := range sim.replicas {
		if r.memberID == memberID {
			last = r
		}
	}
	return last
}

// randomReplica draws one of all replicas, also of those that are down.
func (sim *Consensus) randomReplica() *replica { return sim.replicas[sim.rng.IntN(len(sim.replicas))] }
