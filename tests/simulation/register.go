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
	Loss, Double float64       // of messages
	Delay        time.Duration // longest
	Kill         time.Duration // about how often a core is killed
	Swap         time.Duration // about how often a disk is lost for good
	Freeze       time.Duration // about how often a core is frozen
	Cut          time.Duration // about how often the cores are split
	Change       time.Duration // about how often a core comes, goes, is swapped or wiped
	Until        time.Duration // the faults stop here
}

// Harsh are the faults of the sweeps.
var Harsh = Faults{
	Loss: 0.1, Double: 0.1, Delay: 120 * time.Millisecond, Kill: 3 * time.Second, Swap: 9 * time.Second,
	Freeze: 4 * time.Second, Cut: 5 * time.Second, Until: 40 * time.Second,
}

// Shifting are the faults of runs whose cores come and go.
var Shifting = Faults{
	Loss: 0.1, Double: 0.1, Delay: 120 * time.Millisecond, Kill: 6 * time.Second,
	Freeze: 6 * time.Second, Cut: 8 * time.Second, Change: 4 * time.Second, Until: 60 * time.Second,
}

// core is a simulated core process with its disk.
type core struct {
	slot     int
	up       bool
	frozen   time.Duration // until then it does nothing; what comes piles up
	cut      int           // which side of a split it is on
	disk     consensus.Acceptor
	acceptor consensus.Acceptor
	proposer *consensus.Proposer
	votes    map[int]consensus.Reply // of the current search for a seat
	asked    consensus.Sender        // the claim of that search; zero while it only reads
	told     uint64
	life     int

	// What follows is of runs without static seats.
	addr  string
	gone  bool // for good
	seats membership.ReplicaTable
	usher consensus.Reconfigurer
	busy  bool // a change of the set is under way
	// leaving is whether it is being stopped: it asks for no seat.
	leaving bool
}

// Register is a run of the register.
type Register struct {
	clock
	rng    *rand.Rand
	slots  int
	faults Faults
	cores  []*core // the last of a slot is the one that belongs there
	seq    uint64

	orders  map[uint64]consensus.Command
	asks    map[uint64]func(consensus.CommandResult)
	settled map[uint64][]byte
	acked   uint64
	// generations are those of the settled words, by stamp; generation is the highest
	// that was acknowledged.
	generations map[uint64]uint64
	generation  uint64
	asking      bool // no seat is static: cores ask for them
	founders    []string
	begun       map[uint64][]consensus.MemberSets // of proposals, by stamp
	word        config.ControlState               // the highest that was settled
	// number is the highest that any operator used; Operators are those that race.
	number    uint64
	Operators *Operators
	// Trace, if set, is told what goes on.
	Trace func(string)
	// Broken lists what must never happen and did.
	Broken []string
	// History is what operators asked for and were told.
	History History
	// Acked, Reads, Refused and Swaps count what went on.
	Acked, Reads, Refused, Swaps, Kills int
	// Joins, Grown, Shrunk and Swapped count changes of the set, Struck those that
	// learnt that they had no seat any more.
	Joins, Grown, Shrunk, Swapped, Struck, Blackouts int
	// Longest is how much longer than 15 s it took until all that live had seats.
	Longest time.Duration
}

// NewRegister lays a run out.
func NewRegister(seed uint64, slots int, f Faults) *Register {
	r := &Register{
		rng: rand.New(rand.NewPCG(seed, 7)), slots: slots, faults: f, orders: map[uint64]consensus.Command{},
		asks: map[uint64]func(consensus.CommandResult){}, settled: map[uint64][]byte{}, generations: map[uint64]uint64{}, begun: map[uint64][]consensus.MemberSets{},
	}
	r.Operators = newOperators(r)
	for s := 1; s <= slots; s++ {
		c := &core{slot: s, disk: r.blank(s)}
		r.cores = append(r.cores, c)
		r.after(r.some(time.Second), func() { r.boot(c) })
	}
	return r
}

func (r *Register) blank(slot int) consensus.Acceptor {
	return consensus.Acceptor{Self: consensus.Sender{MemberID: slot, DiskID: r.rng.Uint64() | 1}, StaticSize: r.slots, Phase: consensus.PhaseEmpty, Members: map[int]consensus.MemberRecord{}}
}

func (r *Register) some(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(d) + 1))
}

func (r *Register) note(c *core, format string, args ...any) {
	if r.Trace != nil {
		r.Trace(fmt.Sprintf("%12v %s slot %d.%d/%x ", r.now, c.addr, c.acceptor.Self.MemberID, c.acceptor.Self.Incarnation, c.acceptor.Self.DiskID>>52) + fmt.Sprintf(format, args...))
	}
}

func (r *Register) broken(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf("%v: ", r.now)+fmt.Sprintf(format, args...))
}

// Run runs it: faults for a while, then quiet, after which it must serve.
func (r *Register) Run() {
	r.repeat(250*time.Millisecond, r.faults.Until, r.write)
	r.repeat(300*time.Millisecond, r.faults.Until, r.readBack)
	r.Operators.run(r.faults.Until)
	r.repeat(r.faults.Kill, r.faults.Until, r.kill)
	if r.asking {
		r.repeat(r.faults.Change, r.faults.Until, r.alter)
	} else {
		r.repeat(r.faults.Swap, r.faults.Until, r.swap)
	}
	r.repeat(r.faults.Freeze, r.faults.Until, r.freeze)
	r.repeat(r.faults.Cut, r.faults.Until, r.split)
	r.run(r.faults.Until)
	for _, c := range r.cores {
		c.cut = 0
		if r.belongs(c) && !c.up {
			r.boot(c)
		}
	}
	quiet := r.now + 15*time.Second
	r.run(quiet)
	before := r.Acked
	reads := r.Reads
	for tries := 0; tries < 40 && (r.Acked == before || r.Reads == reads); tries++ {
		r.write()
		r.readBack()
		r.run(r.now + time.Second)
	}
	if r.Acked == before || r.Reads == reads {
		r.broken("it does not serve 15 s after the last fault: %s", r.show())
	}
	for tries := 0; r.asking && tries < 30; tries++ {
		if why := r.apart(); why == "" {
			r.Longest = max(r.Longest, r.now-quiet)
			break
		} else if tries == 29 {
			r.broken("45 s after the last fault %s: %s", why, r.show())
		}
		r.run(r.now + time.Second)
	}
	r.Operators.end()
}

// belongs tells whether a core is one that is to be up.
func (r *Register) belongs(c *core) bool {
	if r.asking {
		return !c.gone
	}
	return c == r.seat(c.slot)
}

func (r *Register) show() (s string) {
	for _, c := range r.cores {
		if !c.gone {
			v := c.acceptor
			s += fmt.Sprintf("\n%s [%d/%x up=%v %s promised %d %v settled %d of %v before %v top %d]", c.addr, v.Self.MemberID, v.Self.DiskID>>52, c.up, v.Phase, v.Promised, v.Position, v.Committed, consensus.MemberIDs(v.MemberSets().Current), consensus.MemberIDs(v.MemberSets().Previous), v.State.HighestMemberID)
		}
	}
	return s
}

func (r *Register) repeat(about, until time.Duration, do func()) {
	if about == 0 {
		return
	}
	r.after(r.some(2*about), func() {
		if r.now < until {
			do()
			r.repeat(about, until, do)
		}
	})
}

// seat is the core that belongs in a slot now.
func (r *Register) seat(slot int) (last *core) {
	for _, c := range r.cores {
		if c.slot == slot {
			last = c
		}
	}
	return last
}

func (r *Register) any() *core { return r.cores[r.rng.IntN(len(r.cores))] }

// boot starts a core from its disk.
func (r *Register) boot(c *core) {
	c.up, c.told = true, 0
	r.note(c, "boots")
	c.life++
	life := c.life
	c.acceptor = c.disk
	c.acceptor.Committed = 0
	c.proposer = &consensus.Proposer{}
	c.proposer.FollowAcceptor(c.acceptor, r.now)
	c.seats, c.usher, c.votes, c.busy = membership.ReplicaTable{}, consensus.Reconfigurer{RemovalDelay: time.Second}, nil, false
	var tick func()
	tick = func() {
		if c.up && c.life == life {
			r.when(c, func() { r.tick(c) })
			r.after(50*time.Millisecond, tick)
		}
	}
	tick()
	if r.asking {
		r.heartbeating(c, life)
	}
}

// when runs do now, or once the core has woken, if it then still lives.
func (r *Register) when(c *core, do func()) {
	life := c.life
	if c.frozen > r.now {
		r.after(c.frozen-r.now, func() {
			if c.up && c.life == life {
				do()
			}
		})
		return
	}
	if c.up {
		do()
	}
}

func (r *Register) tick(c *core) {
	if r.asking && r.seek(c) {
		return
	}
	if c.acceptor.Phase != consensus.PhaseEstablished {
		r.lookForSeat(c)
		return
	}
	c.proposer.FollowAcceptor(c.acceptor, r.now)
	if (c.acceptor.Position.Revision > c.acceptor.Committed || len(c.acceptor.State.PreviousMembers) > 0) && r.rng.IntN(20) == 0 && (!r.asking || r.duty(c) == c) {
		r.order(c, consensus.Command{Kind: consensus.CommandRefresh}, func(consensus.CommandResult) {})
	}
	r.obey(c, c.proposer.Tick(r.now))
}

// lookForSeat is what an empty core does from time to time.
func (r *Register) lookForSeat(c *core) {
	if r.rng.IntN(6) != 0 {
		return
	}
	if c.votes != nil && c.asked == (consensus.Sender{}) {
		if next, ok := c.acceptor.Establish(c.votes); ok {
			r.save(c, next)
			return
		}
		self, may := c.acceptor.NextIncarnation(c.votes)
		if c.asked = (consensus.Sender{}); may {
			c.asked = self
		}
	} else {
		c.asked = consensus.Sender{}
	}
	c.votes = map[int]consensus.Reply{}
	b := consensus.Message{Sender: c.acceptor.Self, Type: consensus.MsgRead}
	if c.asked != (consensus.Sender{}) {
		b = consensus.Message{Sender: c.asked, Type: consensus.MsgJoin}
	}
	votes := c.votes
	r.spread(c, b, true, votes, func(v consensus.Reply) {
		if self := c.asked; self == b.Sender && b.Type == consensus.MsgJoin {
			if next, ok := c.acceptor.CompleteJoin(self, votes); ok {
				r.save(c, next)
				r.tell(c)
			}
		}
	})
}

// spread puts a ballot to all slots that a core knows of, and that the votes tell
// of, and gathers those.
func (r *Register) spread(c *core, b consensus.Message, others bool, votes map[int]consensus.Reply, heard func(consensus.Reply)) {
	asked := map[int]bool{}
	var ask func(set []config.Member)
	ask = func(set []config.Member) {
		for _, s := range set {
			if asked[s.MemberID] || others && s.MemberID == b.Sender.MemberID {
				continue
			}
			asked[s.MemberID] = true
			r.put(c, s, b, func(v consensus.Reply) {
				votes[v.Sender.MemberID] = v
				ask(v.MemberSets.Union())
				heard(v)
			})
		}
	}
	ask(c.acceptor.MemberSets().Union())
}

// put brings a ballot to a slot, and its vote back, through what may happen.
func (r *Register) put(from *core, m config.Member, b consensus.Message, back func(consensus.Reply)) {
	if b.Position.Revision > r.word.Revision && len(b.State.Members) > 0 {
		r.begun[b.Position.Revision] = append(r.begun[b.Position.Revision], consensus.MemberSets{Current: b.State.Members, Previous: b.State.PreviousMembers})
	}
	to := r.find(from, m)
	if to == nil {
		return
	}
	life := from.life
	r.send(from, to, func() {
		next, vote := to.acceptor.Step(b)
		if r.rng.IntN(400) == 0 && r.now < r.faults.Until { // power is lost at the disk
			if r.rng.IntN(2) == 0 {
				to.disk = next
			}
			r.down(to)
			return
		}
		r.save(to, next)
		r.tell(to)
		r.send(to, from, func() {
			if v := vote.FromMember(m); v != nil && from.life == life {
				back(*v)
			}
		})
	})
}

// find is the core that one takes for a member.
func (r *Register) find(from *core, m config.Member) *core {
	slot := m.MemberID
	if from.acceptor.Self.MemberID == slot && (m.DiskID == 0 || m.DiskID == from.acceptor.Self.DiskID) {
		return from
	}
	if r.asking {
		if at, ok := from.seats.Member(slot); ok {
			return r.at(at.Addr)
		}
		return r.at(m.Addr)
	}
	if r.rng.IntN(5) == 0 { // news of a swapped core has not come round
		for _, c := range r.cores {
			if c.slot == slot {
				return c
			}
		}
	}
	return r.seat(slot)
}

// send carries a message: late, lost, doubled, or to a core that is frozen.
func (r *Register) send(from, to *core, do func()) {
	if from == to {
		r.after(time.Microsecond, func() { r.when(to, do) })
		return
	}
	copies := 1
	quiet := r.now >= r.faults.Until
	if !quiet && r.rng.Float64() < r.faults.Double {
		copies = 2
	}
	for range copies {
		if !quiet && r.rng.Float64() < r.faults.Loss {
			continue
		}
		r.after(time.Millisecond+r.some(r.faults.Delay), func() {
			if from.cut == to.cut {
				r.when(to, do)
			}
		})
	}
}

func (r *Register) save(c *core, next consensus.Acceptor) {
	if next.Position != c.acceptor.Position || next.Promised != c.acceptor.Promised || next.Phase != c.acceptor.Phase {
		r.note(c, "%s, promised %d, holds %v %q of %v", next.Phase, next.Promised, next.Position, next.State.Configuration, consensus.MemberIDs(next.MemberSets().Current))
	}
	c.acceptor, c.disk = next, next
	c.proposer.FollowAcceptor(next, r.now)
}

// tell checks each word that a core takes for settled.
func (r *Register) tell(c *core) {
	v := c.acceptor
	if v.Committed != v.Position.Revision || v.Committed <= c.told {
		return
	}
	c.told = v.Committed
	r.note(c, "takes stamp %d for settled", v.Committed)
	r.check(v.State, fmt.Sprintf("core %d", c.acceptor.Self.MemberID))
}

func (r *Register) check(state config.ControlState, who string) {
	is := fmt.Appendf(nil, "%s %v", state.Configuration, state.Members)
	if old, ok := r.settled[state.Revision]; ok && !bytes.Equal(old, is) {
		r.broken("%s has %q for stamp %d that was %q", who, is, state.Revision, old)
	}
	r.settled[state.Revision] = is
	if state.Revision > r.word.Revision {
		r.grew(state)
		r.word = state
	}
	for stamp, e := range r.generations {
		if stamp <= state.Revision && e > state.Generation || stamp >= state.Revision && e < state.Generation {
			r.broken("%s has edition %d under stamp %d and there was %d under %d", who, state.Generation, state.Revision, e, stamp)
		}
	}
	r.generations[state.Revision] = state.Generation
	r.Operators.settled(state)
}

func (r *Register) obey(c *core, outs []consensus.Ready) {
	for _, o := range outs {
		if o.Result != nil {
			if back, ok := r.asks[o.Result.ID]; ok {
				delete(r.asks, o.Result.ID)
				back(*o.Result)
			}
		}
		for _, s := range o.To {
			r.put(c, s, *o.Message, func(v consensus.Reply) { r.obey(c, c.proposer.HandleReply(v, r.now)) })
		}
	}
}

func (r *Register) order(c *core, o consensus.Command, back func(consensus.CommandResult)) {
	r.seq++
	o.ID, o.Deadline = r.seq, r.now+3*time.Second
	if o.Kind == consensus.CommandReconfigure {
		o.Deadline = r.now + 2*time.Second
	}
	r.asks[o.ID] = r.recorded(o, back)
	r.obey(c, c.proposer.Enqueue(o, r.now))
}

// write has an operator put a configuration at any core that is up; every other
// one is a generation, some of them late.
func (r *Register) write() {
	c := r.any()
	if !c.up || c.frozen > r.now || c.acceptor.Phase != consensus.PhaseEstablished {
		return
	}
	text := fmt.Appendf(nil, "configuration %d", r.seq+1)
	o := consensus.Command{Kind: consensus.CommandPutConfiguration, Payload: text}
	if r.rng.IntN(2) == 0 {
		o.Generation = r.number + 1 + r.rng.Uint64N(4)
		r.number = o.Generation
	}
	r.order(c, o, func(a consensus.CommandResult) {
		if a.Outcome != consensus.OutcomeCommitted {
			r.Refused++
			return
		}
		r.Acked++
		if overtaken := o.Generation != 0 && a.State.Generation >= o.Generation; !bytes.Equal(a.State.Configuration, text) && a.State.ConfigurationRevision == a.State.Revision && !overtaken {
			r.broken("%q was acknowledged as %q", text, a.State.Configuration)
		}
		if a.State.Generation < o.Generation {
			r.broken("edition %d was acknowledged as %d", o.Generation, a.State.Generation)
		}
		r.generation = max(r.generation, o.Generation)
		r.check(a.State, "an operator")
		r.acked = max(r.acked, a.State.Revision)
	})
}

// readBack has an operator read: never older than what was acknowledged before.
func (r *Register) readBack() {
	c := r.any()
	if !c.up || c.frozen > r.now {
		return
	}
	least, generation, begun := r.acked, r.generation, r.now
	got := func(state config.ControlState) {
		r.Reads++
		r.History.read(begun, state, r.now)
		r.check(state, "a reader")
		if state.Revision < least {
			r.broken("stamp %d was read after %d was acknowledged", state.Revision, least)
		}
		if state.Generation < generation {
			r.broken("edition %d was read after %d was acknowledged", state.Generation, generation)
		}
	}
	votes, done := map[int]consensus.Reply{}, false
	own := c.acceptor.MemberSets()
	r.spread(c, consensus.Message{Sender: c.acceptor.Self, Type: consensus.MsgRead}, false, votes, func(consensus.Reply) {
		counted := consensus.CurrentReplies(votes)
		if done || !consensus.HasReadQuorum(counted, own) {
			return
		}
		done = true
		if top, held := consensus.NewestState(counted, own); held {
			got(top.State)
		} else if c.acceptor.Phase == consensus.PhaseEstablished {
			r.order(c, consensus.Command{Kind: consensus.CommandRefresh}, func(a consensus.CommandResult) {
				if a.Outcome == consensus.OutcomeCommitted {
					got(a.State)
				}
			})
		}
	})
}

func (r *Register) down(c *core) {
	r.note(c, "is killed")
	c.up = false
	r.Kills++
	c.life++
	if r.belongs(c) {
		r.after(r.some(3*time.Second), func() {
			if !c.up && r.belongs(c) {
				r.boot(c)
			}
		})
	}
}

func (r *Register) kill() {
	if c := r.any(); c.up {
		r.down(c)
	}
	if r.rng.IntN(8) == 0 { // a herd
		for _, c := range r.cores {
			if c.up {
				r.down(c)
			}
		}
	}
}

// swap puts a core with an empty disk in a slot, while all others are
// established: more than a minority of disks lost at a time is beyond what the
// register can bear. The old core may go on running.
func (r *Register) swap() {
	slot := r.rng.IntN(r.slots) + 1
	for s := 1; s <= r.slots; s++ {
		if c := r.seat(s); c.disk.Phase != consensus.PhaseEstablished {
			return
		}
	}
	r.Swaps++
	r.note(r.seat(slot), "is swapped")
	old := r.seat(slot)
	c := &core{slot: slot, disk: r.blank(slot)}
	r.cores = append(r.cores, c)
	if r.rng.IntN(2) == 0 {
		old.up = false
		old.life++
	}
	r.boot(c)
}

func (r *Register) freeze() {
	if c := r.any(); c.up {
		c.frozen = r.now + r.some(5*time.Second)
	}
}

func (r *Register) split() {
	for _, c := range r.cores {
		c.cut = r.rng.IntN(2)
	}
	r.after(r.some(4*time.Second), func() {
		for _, c := range r.cores {
			c.cut = 0
		}
	})
}
