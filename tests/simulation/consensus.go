package simulation

import (
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// Faults configures which faults a simulation injects and how often. Intervals are means. An
// interval of zero disables the fault.
type Faults struct {
	// Loss and Duplicate are the probabilities that a message is lost or duplicated.
	Loss, Duplicate float64
	// Delay is the maximum random delay of a message.
	Delay time.Duration
	// Kill is the interval between kills of a replica.
	Kill time.Duration
	// ReplaceDisk is the interval between permanent losses of a replica's disk (static
	// membership).
	ReplaceDisk time.Duration
	// Pause is the interval between pauses of a replica.
	Pause time.Duration
	// Partition is the interval between partitions of the network between the replicas.
	Partition time.Duration
	// ChangeMembers is the interval between events in which a replica joins, leaves
	// permanently, is replaced, or loses its disk (dynamic membership).
	ChangeMembers time.Duration
	// Until is the time at which faults stop.
	Until time.Duration
}

// StaticMembershipFaults are the faults of simulations with static membership.
var StaticMembershipFaults = Faults{
	Loss: 0.1, Duplicate: 0.1, Delay: 120 * time.Millisecond, Kill: 3 * time.Second, ReplaceDisk: 9 * time.Second,
	Pause: 4 * time.Second, Partition: 5 * time.Second, Until: 40 * time.Second,
}

// DynamicMembershipFaults are the faults of simulations in which replicas join and leave.
var DynamicMembershipFaults = Faults{
	Loss: 0.1, Duplicate: 0.1, Delay: 120 * time.Millisecond, Kill: 6 * time.Second,
	Pause: 6 * time.Second, Partition: 8 * time.Second, ChangeMembers: 4 * time.Second, Until: 60 * time.Second,
}

// Limits on the recovery after the last fault.
const (
	// recoveryLimit is how long the control plane has to recover after the last fault before
	// checkRecovery starts its checks.
	recoveryLimit = 15 * time.Second
	// serveAttempts is how many times checkRecovery tries a write and a read, once a second.
	// rejoinAttempts is how many times it checks that all replicas are members, once a
	// second.
	serveAttempts  = 40
	rejoinAttempts = 30
)

// Consensus simulates the replicated state of the control plane under faults, with operators
// that write and read configurations and evacuate zones.
type Consensus struct {
	randomClock
	// members is the number of members with static membership, and the number of founding
	// members with dynamic membership.
	members int
	faults  Faults
	// replicas are all replicas that have ever run. If several have the same static member
	// ID, the last of them is current.
	replicas    []*replica
	nextCommand uint64

	commands map[uint64]consensus.Command
	pending  map[uint64]func(consensus.CommandResult)
	// committed and generations are the content and the generation of each committed
	// revision.
	committed   map[uint64][]byte
	generations map[uint64]uint64
	// ackedRevision and ackedGeneration are the highest acknowledged revision and generation.
	ackedRevision   uint64
	ackedGeneration uint64
	// dynamicMembership reports whether replicas join by request, rather than being fixed in
	// the settings.
	dynamicMembership bool
	founders          []string
	// proposedSets are the member sets of the proposals sent so far, by revision. Those above
	// the newest committed revision may still be committed.
	proposedSets map[uint64][]consensus.MemberSets
	newestState  config.ControlState // state of the highest committed revision
	// highestGeneration is the highest generation that any operator has used.
	highestGeneration uint64

	// Operators submit conflicting configurations with generations, and evacuations.
	Operators *Operators
	// Trace, if not nil, is called with a line for each traced step.
	Trace func(string)
	// Violations describes each violation of an invariant.
	Violations []string
	// History records the operators' calls and their results.
	History History
	// Acked and Refused count writes, Reads completed reads, DiskLosses and Kills faults.
	Acked, Reads, Refused, DiskLosses, Kills int
	// Joins counts the new replicas that were started. Grown, Shrunk and Replaced count
	// committed changes of the member set. Removed counts the replicas that learned that they
	// are no longer members. MinorityLosses counts the simultaneous losses of as many replicas as
	// the member sets tolerate.
	Joins, Grown, Shrunk, Replaced, Removed, MinorityLosses int
	// SlowestRejoin is the longest time, beyond recoveryLimit, until all replicas were members
	// again.
	SlowestRejoin time.Duration
}

// NewConsensus returns a simulation with the given number of static members.
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

// emptyAcceptor returns the initial state of a static member whose disk is empty.
func (sim *Consensus) emptyAcceptor(memberID int) consensus.Acceptor {
	return consensus.Acceptor{Self: consensus.Sender{MemberID: memberID, DiskID: sim.rng.Uint64() | 1}, StaticSize: sim.members, Phase: consensus.PhaseEmpty, MemberRecords: map[int]consensus.MemberRecord{}}
}

// Run injects faults until faults.Until, then stops them and checks that the control plane
// recovers.
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
	sim.repeat(sim.faults.Pause, sim.faults.Until, sim.pauseRandom)
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

// checkRecovery checks that a write and a read succeed after the faults. With dynamic
// membership it also checks that all replicas become members.
func (sim *Consensus) checkRecovery() {
	recoveryDeadline := sim.now + recoveryLimit
	sim.run(recoveryDeadline)
	before := sim.Acked
	reads := sim.Reads
	for attempt := 0; attempt < serveAttempts && (sim.Acked == before || sim.Reads == reads); attempt++ {
		sim.write()
		sim.read()
		sim.run(sim.now + time.Second)
	}
	if sim.Acked == before || sim.Reads == reads {
		sim.violation("writes or reads still fail more than %v after the last fault: %s", recoveryLimit, sim.describe())
	}
	for attempt := 0; sim.dynamicMembership && attempt < rejoinAttempts; attempt++ {
		problem := sim.disagreement()
		if problem == "" {
			sim.SlowestRejoin = max(sim.SlowestRejoin, sim.now-recoveryDeadline)
			break
		}
		if attempt == rejoinAttempts-1 {
			sim.violation("%v after the last fault, %s: %s", recoveryLimit+rejoinAttempts*time.Second, problem, sim.describe())
		}
		sim.run(sim.now + time.Second)
	}
}

// shouldRun reports whether a replica should be running. Removed and replaced replicas should
// not.
func (sim *Consensus) shouldRun(r *replica) bool {
	if sim.dynamicMembership {
		return !r.removed
	}
	return r == sim.current(r.memberID)
}

// current returns the replica that now has a static member ID.
func (sim *Consensus) current(memberID int) (last *replica) {
	for _, r := range sim.replicas {
		if r.memberID == memberID {
			last = r
		}
	}
	return last
}

// randomReplica draws one of all replicas, including those that are down.
func (sim *Consensus) randomReplica() *replica { return sim.replicas[sim.rng.IntN(len(sim.replicas))] }
