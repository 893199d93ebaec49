package simulation

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
)

// Faults says which failures a run brings about.
type Faults struct {
	Loss, Duplicate float64       // of messages
	Delay           time.Duration // longest
	Kill            time.Duration // about how often a core is killed
	ReplaceDisk     time.Duration // about how often a disk is lost for good
	Freeze          time.Duration // about how often a core is frozen
	Partition       time.Duration // about how often the cores are split
	ChangeMembers   time.Duration // about how often a core comes, goes, is swapped or wiped
	Until           time.Duration // the faults stop here
}

// HarshFaults are the faults of the sweeps.
var HarshFaults = Faults{
	Loss: 0.1, Duplicate: 0.1, Delay: 120 * time.Millisecond, Kill: 3 * time.Second, ReplaceDisk: 9 * time.Second,
	Freeze: 4 * time.Second, Partition: 5 * time.Second, Until: 40 * time.Second,
}

// MembershipFaults are the faults of runs whose cores come and go.
var MembershipFaults = Faults{
	Loss: 0.1, Duplicate: 0.1, Delay: 120 * time.Millisecond, Kill: 6 * time.Second,
	Freeze: 6 * time.Second, Partition: 8 * time.Second, ChangeMembers: 4 * time.Second, Until: 60 * time.Second,
}

// replica is a simulated core process with its disk.
type replica struct {
	memberID         int
	up               bool
	frozenUntil      time.Duration // until then it does nothing; what comes piles up
	partition        int           // which side of a split it is on
	disk             consensus.Acceptor
	acceptor         consensus.Acceptor
	proposer         *consensus.Proposer
	replies          map[int]consensus.Reply // of the current search for a seat
	joinIdentity     consensus.Sender        // the claim of that search; zero while it only reads
	reportedRevision uint64
	incarnation      int

	// What follows is of runs without static seats.
	addr          string
	removed       bool // for good
	members       membership.ReplicaTable
	reconfigurer  consensus.Reconfigurer
	reconfiguring bool // a change of the set is under way
	// leaving is whether it is being stopped: it asks for no seat.
	leaving bool
}

// Consensus is a run of the register.
type Consensus struct {
	clock
	rng         *rand.Rand
	members     int
	faults      Faults
	replicas    []*replica // the last of a slot is the one that belongs there
	nextCommand uint64

	commands      map[uint64]consensus.Command
	pending       map[uint64]func(consensus.CommandResult)
	committed     map[uint64][]byte
	ackedRevision uint64
	// generations are those of the settled words, by stamp; generation is the highest
	// that was acknowledged.
	generations       map[uint64]uint64
	ackedGeneration   uint64
	dynamicMembership bool // no seat is static: cores ask for them
	founders          []string
	proposedSets      map[uint64][]consensus.MemberSets // of proposals, by stamp
	newestState       config.ControlState               // the highest that was settled
	// highestGeneration is the highest that any operator used; Operators are those that race.
	highestGeneration uint64
	Operators         *Operators
	// Trace, if set, is told what goes on.
	Trace func(string)
	// Violations lists what must never happen and did.
	Violations []string
	// History is what operators asked for and were told.
	History History
	// Acked, Reads, Refused and Swaps count what went on.
	Acked, Reads, Refused, DiskLosses, Kills int
	// Joins, Grown, Shrunk and Swapped count changes of the set, Struck those that
	// learnt that they had no seat any more.
	Joins, Grown, Shrunk, Replaced, Removed, Blackouts int
	// SlowestRejoin is how much longer than 15 s it took until all that live had seats.
	SlowestRejoin time.Duration
}

// NewConsensus lays a run out.
func NewConsensus(seed uint64, slots int, f Faults) *Consensus {
	sim := &Consensus{
		rng: rand.New(rand.NewPCG(seed, 7)), members: slots, faults: f, commands: map[uint64]consensus.Command{},
		pending: map[uint64]func(consensus.CommandResult){}, committed: map[uint64][]byte{}, generations: map[uint64]uint64{}, proposedSets: map[uint64][]consensus.MemberSets{},
	}
	sim.Operators = newOperators(sim)
	for s := 1; s <= slots; s++ {
		r := &replica{memberID: s, disk: sim.emptyAcceptor(s)}
		sim.replicas = append(sim.replicas, r)
		sim.after(sim.randomDuration(time.Second), func() { sim.start(r) })
	}
	return sim
}

func (sim *Consensus) emptyAcceptor(memberID int) consensus.Acceptor {
	return consensus.Acceptor{Self: consensus.Sender{MemberID: memberID, DiskID: sim.rng.Uint64() | 1}, StaticSize: sim.members, Phase: consensus.PhaseEmpty, Members: map[int]consensus.MemberRecord{}}
}

func (sim *Consensus) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d) + 1))
}

func (sim *Consensus) trace(r *replica, format string, args ...any) {
	if sim.Trace != nil {
		sim.Trace(fmt.Sprintf("%12v %s slot %d.%d/%x ", sim.now, r.addr, r.acceptor.Self.MemberID, r.acceptor.Self.Incarnation, r.acceptor.Self.DiskID>>52) + fmt.Sprintf(format, args...))
	}
}

func (sim *Consensus) violation(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// Run runs it: faults for a while, then quiet, after which it must serve.
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
	quiet := sim.now + 15*time.Second
	sim.run(quiet)
	before := sim.Acked
	reads := sim.Reads
	for tries := 0; tries < 40 && (sim.Acked == before || sim.Reads == reads); tries++ {
		sim.write()
		sim.read()
		sim.run(sim.now + time.Second)
	}
	if sim.Acked == before || sim.Reads == reads {
		sim.violation("it does not serve 15 s after the last fault: %s", sim.describe())
	}
	for tries := 0; sim.dynamicMembership && tries < 30; tries++ {
		if why := sim.disagreement(); why == "" {
			sim.SlowestRejoin = max(sim.SlowestRejoin, sim.now-quiet)
			break
		} else if tries == 29 {
			sim.violation("45 s after the last fault %s: %s", why, sim.describe())
		}
		sim.run(sim.now + time.Second)
	}
	sim.Operators.checkFinal()
}

// shouldRun tells whether a core is one that is to be up.
func (sim *Consensus) shouldRun(r *replica) bool {
	if sim.dynamicMembership {
		return !r.removed
	}
	return r == sim.current(r.memberID)
}

func (sim *Consensus) describe() (s string) {
	for _, r := range sim.replicas {
		if !r.removed {
			acceptor := r.acceptor
			s += fmt.Sprintf("\n%s [%d/%x up=%v %s promised %d %v settled %d of %v before %v top %d]", r.addr, acceptor.Self.MemberID, acceptor.Self.DiskID>>52, r.up, acceptor.Phase, acceptor.Promised, acceptor.Position, acceptor.Committed, consensus.MemberIDs(acceptor.MemberSets().Current), consensus.MemberIDs(acceptor.MemberSets().Previous), acceptor.State.HighestMemberID)
		}
	}
	return s
}

func (sim *Consensus) repeat(interval, until time.Duration, action func()) {
	if interval == 0 {
		return
	}
	sim.after(sim.randomDuration(2*interval), func() {
		if sim.now < until {
			action()
			sim.repeat(interval, until, action)
		}
	})
}

// current is the core that belongs in a slot now.
func (sim *Consensus) current(memberID int) (last *replica) {
	for _, r := range sim.replicas {
		if r.memberID == memberID {
			last = r
		}
	}
	return last
}

func (sim *Consensus) randomReplica() *replica { return sim.replicas[sim.rng.IntN(len(sim.replicas))] }

// start starts a core from its disk.
func (sim *Consensus) start(r *replica) {
	r.up, r.reportedRevision = true, 0
	sim.trace(r, "boots")
	r.incarnation++
	incarnation := r.incarnation
	r.acceptor = r.disk
	r.acceptor.Committed = 0
	r.proposer = &consensus.Proposer{}
	r.proposer.FollowAcceptor(r.acceptor, sim.now)
	r.members, r.reconfigurer, r.replies, r.reconfiguring = membership.ReplicaTable{}, consensus.Reconfigurer{RemovalDelay: time.Second}, nil, false
	var tick func()
	tick = func() {
		if r.up && r.incarnation == incarnation {
			sim.whenAwake(r, func() { sim.tick(r) })
			sim.after(50*time.Millisecond, tick)
		}
	}
	tick()
	if sim.dynamicMembership {
		sim.startHeartbeats(r, incarnation)
	}
}

// whenAwake runs do now, or once the core has woken, if it then still lives.
func (sim *Consensus) whenAwake(r *replica, action func()) {
	incarnation := r.incarnation
	if r.frozenUntil > sim.now {
		sim.after(r.frozenUntil-sim.now, func() {
			if r.up && r.incarnation == incarnation {
				action()
			}
		})
		return
	}
	if r.up {
		action()
	}
}

func (sim *Consensus) tick(r *replica) {
	if sim.dynamicMembership && sim.requestMembership(r) {
		return
	}
	if r.acceptor.Phase != consensus.PhaseEstablished {
		sim.joinAsMember(r)
		return
	}
	r.proposer.FollowAcceptor(r.acceptor, sim.now)
	if (r.acceptor.Position.Revision > r.acceptor.Committed || len(r.acceptor.State.PreviousMembers) > 0) && sim.rng.IntN(20) == 0 && (!sim.dynamicMembership || sim.coordinatorOf(r) == r) {
		sim.submit(r, consensus.Command{Kind: consensus.CommandRefresh}, func(consensus.CommandResult) {})
	}
	sim.carryOut(r, r.proposer.Tick(sim.now))
}

// joinAsMember is what an empty core does from time to time.
func (sim *Consensus) joinAsMember(r *replica) {
	if sim.rng.IntN(6) != 0 {
		return
	}
	if r.replies != nil && r.joinIdentity == (consensus.Sender{}) {
		if next, ok := r.acceptor.Establish(r.replies); ok {
			sim.save(r, next)
			return
		}
		self, eligible := r.acceptor.NextIncarnation(r.replies)
		if r.joinIdentity = (consensus.Sender{}); eligible {
			r.joinIdentity = self
		}
	} else {
		r.joinIdentity = consensus.Sender{}
	}
	r.replies = map[int]consensus.Reply{}
	message := consensus.Message{Sender: r.acceptor.Self, Type: consensus.MsgRead}
	if r.joinIdentity != (consensus.Sender{}) {
		message = consensus.Message{Sender: r.joinIdentity, Type: consensus.MsgJoin}
	}
	replies := r.replies
	sim.broadcast(r, message, true, replies, func(reply consensus.Reply) {
		if self := r.joinIdentity; self == message.Sender && message.Type == consensus.MsgJoin {
			if next, ok := r.acceptor.CompleteJoin(self, replies); ok {
				sim.save(r, next)
				sim.recordCommitted(r)
			}
		}
	})
}

// broadcast puts a ballot to all slots that a core knows of, and that the votes tell
// of, and gathers those.
func (sim *Consensus) broadcast(r *replica, message consensus.Message, othersOnly bool, replies map[int]consensus.Reply, received func(consensus.Reply)) {
	sent := map[int]bool{}
	var sendTo func(set []config.Member)
	sendTo = func(set []config.Member) {
		for _, member := range set {
			if sent[member.MemberID] || othersOnly && member.MemberID == message.Sender.MemberID {
				continue
			}
			sent[member.MemberID] = true
			sim.request(r, member, message, func(reply consensus.Reply) {
				replies[reply.Sender.MemberID] = reply
				sendTo(reply.MemberSets.Union())
				received(reply)
			})
		}
	}
	sendTo(r.acceptor.MemberSets().Union())
}

// request brings a ballot to a slot, and its vote back, through what may happen.
func (sim *Consensus) request(from *replica, member config.Member, message consensus.Message, done func(consensus.Reply)) {
	if message.Position.Revision > sim.newestState.Revision && len(message.State.Members) > 0 {
		sim.proposedSets[message.Position.Revision] = append(sim.proposedSets[message.Position.Revision], consensus.MemberSets{Current: message.State.Members, Previous: message.State.PreviousMembers})
	}
	to := sim.replicaFor(from, member)
	if to == nil {
		return
	}
	incarnation := from.incarnation
	sim.send(from, to, func() {
		next, reply := to.acceptor.Step(message)
		if sim.rng.IntN(400) == 0 && sim.now < sim.faults.Until { // power is lost at the disk
			if sim.rng.IntN(2) == 0 {
				to.disk = next
			}
			sim.crash(to)
			return
		}
		sim.save(to, next)
		sim.recordCommitted(to)
		sim.send(to, from, func() {
			if own := reply.FromMember(member); own != nil && from.incarnation == incarnation {
				done(*own)
			}
		})
	})
}

// replicaFor is the core that one takes for a member.
func (sim *Consensus) replicaFor(from *replica, member config.Member) *replica {
	memberID := member.MemberID
	if from.acceptor.Self.MemberID == memberID && (member.DiskID == 0 || member.DiskID == from.acceptor.Self.DiskID) {
		return from
	}
	if sim.dynamicMembership {
		if status, ok := from.members.Member(memberID); ok {
			return sim.replicaAt(status.Addr)
		}
		return sim.replicaAt(member.Addr)
	}
	if sim.rng.IntN(5) == 0 { // news of a swapped core has not come round
		for _, r := range sim.replicas {
			if r.memberID == memberID {
				return r
			}
		}
	}
	return sim.current(memberID)
}

// send carries a message: late, lost, doubled, or to a core that is frozen.
func (sim *Consensus) send(from, to *replica, deliver func()) {
	if from == to {
		sim.after(time.Microsecond, func() { sim.whenAwake(to, deliver) })
		return
	}
	copies := 1
	quiet := sim.now >= sim.faults.Until
	if !quiet && sim.rng.Float64() < sim.faults.Duplicate {
		copies = 2
	}
	for range copies {
		if !quiet && sim.rng.Float64() < sim.faults.Loss {
			continue
		}
		sim.after(time.Millisecond+sim.randomDuration(sim.faults.Delay), func() {
			if from.partition == to.partition {
				sim.whenAwake(to, deliver)
			}
		})
	}
}

func (sim *Consensus) save(r *replica, next consensus.Acceptor) {
	if next.Position != r.acceptor.Position || next.Promised != r.acceptor.Promised || next.Phase != r.acceptor.Phase {
		sim.trace(r, "%s, promised %d, holds %v %q of %v", next.Phase, next.Promised, next.Position, next.State.Configuration, consensus.MemberIDs(next.MemberSets().Current))
	}
	r.acceptor, r.disk = next, next
	r.proposer.FollowAcceptor(next, sim.now)
}

// recordCommitted checks each word that a core takes for settled.
func (sim *Consensus) recordCommitted(r *replica) {
	acceptor := r.acceptor
	if acceptor.Committed != acceptor.Position.Revision || acceptor.Committed <= r.reportedRevision {
		return
	}
	r.reportedRevision = acceptor.Committed
	sim.trace(r, "takes stamp %d for settled", acceptor.Committed)
	sim.checkState(acceptor.State, fmt.Sprintf("core %d", r.acceptor.Self.MemberID))
}

func (sim *Consensus) checkState(state config.ControlState, observer string) {
	encoded := fmt.Appendf(nil, "%s %v", state.Configuration, state.Members)
	if old, ok := sim.committed[state.Revision]; ok && !bytes.Equal(old, encoded) {
		sim.violation("%s has %q for stamp %d that was %q", observer, encoded, state.Revision, old)
	}
	sim.committed[state.Revision] = encoded
	if state.Revision > sim.newestState.Revision {
		sim.countChange(state)
		sim.newestState = state
	}
	for revision, generation := range sim.generations {
		if revision <= state.Revision && generation > state.Generation || revision >= state.Revision && generation < state.Generation {
			sim.violation("%s has edition %d under stamp %d and there was %d under %d", observer, state.Generation, state.Revision, generation, revision)
		}
	}
	sim.generations[state.Revision] = state.Generation
	sim.Operators.recordCommitted(state)
}

func (sim *Consensus) carryOut(r *replica, ready []consensus.Ready) {
	for _, item := range ready {
		if item.Result != nil {
			if done, ok := sim.pending[item.Result.ID]; ok {
				delete(sim.pending, item.Result.ID)
				done(*item.Result)
			}
		}
		for _, member := range item.To {
			sim.request(r, member, *item.Message, func(reply consensus.Reply) { sim.carryOut(r, r.proposer.HandleReply(reply, sim.now)) })
		}
	}
}

func (sim *Consensus) submit(r *replica, command consensus.Command, done func(consensus.CommandResult)) {
	sim.nextCommand++
	command.ID, command.Deadline = sim.nextCommand, sim.now+3*time.Second
	if command.Kind == consensus.CommandReconfigure {
		command.Deadline = sim.now + 2*time.Second
	}
	sim.pending[command.ID] = sim.recordHistory(command, done)
	sim.carryOut(r, r.proposer.Enqueue(command, sim.now))
}

// write has an operator put a configuration at any core that is up; every other
// one is a generation, some of them late.
func (sim *Consensus) write() {
	r := sim.randomReplica()
	if !r.up || r.frozenUntil > sim.now || r.acceptor.Phase != consensus.PhaseEstablished {
		return
	}
	text := fmt.Appendf(nil, "configuration %d", sim.nextCommand+1)
	command := consensus.Command{Kind: consensus.CommandPutConfiguration, Payload: text}
	if sim.rng.IntN(2) == 0 {
		command.Generation = sim.highestGeneration + 1 + sim.rng.Uint64N(4)
		sim.highestGeneration = command.Generation
	}
	sim.submit(r, command, func(result consensus.CommandResult) {
		if result.Outcome != consensus.OutcomeCommitted {
			sim.Refused++
			return
		}
		sim.Acked++
		if overtaken := command.Generation != 0 && result.State.Generation >= command.Generation; !bytes.Equal(result.State.Configuration, text) && result.State.ConfigurationRevision == result.State.Revision && !overtaken {
			sim.violation("%q was acknowledged as %q", text, result.State.Configuration)
		}
		if result.State.Generation < command.Generation {
			sim.violation("edition %d was acknowledged as %d", command.Generation, result.State.Generation)
		}
		sim.ackedGeneration = max(sim.ackedGeneration, command.Generation)
		sim.checkState(result.State, "an operator")
		sim.ackedRevision = max(sim.ackedRevision, result.State.Revision)
	})
}

// read has an operator read: never older than what was acknowledged before.
func (sim *Consensus) read() {
	r := sim.randomReplica()
	if !r.up || r.frozenUntil > sim.now {
		return
	}
	leastRevision, generation, began := sim.ackedRevision, sim.ackedGeneration, sim.now
	receive := func(state config.ControlState) {
		sim.Reads++
		sim.History.read(began, state, sim.now)
		sim.checkState(state, "a reader")
		if state.Revision < leastRevision {
			sim.violation("stamp %d was read after %d was acknowledged", state.Revision, leastRevision)
		}
		if state.Generation < generation {
			sim.violation("edition %d was read after %d was acknowledged", state.Generation, generation)
		}
	}
	replies, done := map[int]consensus.Reply{}, false
	own := r.acceptor.MemberSets()
	sim.broadcast(r, consensus.Message{Sender: r.acceptor.Self, Type: consensus.MsgRead}, false, replies, func(consensus.Reply) {
		counted := consensus.CurrentReplies(replies)
		if done || !consensus.HasReadQuorum(counted, own) {
			return
		}
		done = true
		if newest, committed := consensus.NewestState(counted, own); committed {
			receive(newest.State)
		} else if r.acceptor.Phase == consensus.PhaseEstablished {
			sim.submit(r, consensus.Command{Kind: consensus.CommandRefresh}, func(result consensus.CommandResult) {
				if result.Outcome == consensus.OutcomeCommitted {
					receive(result.State)
				}
			})
		}
	})
}

func (sim *Consensus) crash(r *replica) {
	sim.trace(r, "is killed")
	r.up = false
	sim.Kills++
	r.incarnation++
	if sim.shouldRun(r) {
		sim.after(sim.randomDuration(3*time.Second), func() {
			if !r.up && sim.shouldRun(r) {
				sim.start(r)
			}
		})
	}
}

func (sim *Consensus) killRandom() {
	if r := sim.randomReplica(); r.up {
		sim.crash(r)
	}
	if sim.rng.IntN(8) == 0 { // a herd
		for _, r := range sim.replicas {
			if r.up {
				sim.crash(r)
			}
		}
	}
}

// replaceDisk puts a core with an empty disk in a slot, while all others are
// established: more than a minority of disks lost at a time is beyond what the
// register can bear. The old core may go on running.
func (sim *Consensus) replaceDisk() {
	memberID := sim.rng.IntN(sim.members) + 1
	for s := 1; s <= sim.members; s++ {
		if r := sim.current(s); r.disk.Phase != consensus.PhaseEstablished {
			return
		}
	}
	sim.DiskLosses++
	sim.trace(sim.current(memberID), "is swapped")
	old := sim.current(memberID)
	r := &replica{memberID: memberID, disk: sim.emptyAcceptor(memberID)}
	sim.replicas = append(sim.replicas, r)
	if sim.rng.IntN(2) == 0 {
		old.up = false
		old.incarnation++
	}
	sim.start(r)
}

func (sim *Consensus) freezeRandom() {
	if r := sim.randomReplica(); r.up {
		r.frozenUntil = sim.now + sim.randomDuration(5*time.Second)
	}
}

func (sim *Consensus) partition() {
	for _, r := range sim.replicas {
		r.partition = sim.rng.IntN(2)
	}
	sim.after(sim.randomDuration(4*time.Second), func() {
		for _, r := range sim.replicas {
			r.partition = 0
		}
	})
}
