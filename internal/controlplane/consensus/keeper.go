package consensus

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// The kinds on the wire.
const (
	KindBallot = "ballot"
	KindOrder  = "order"
	KindSeat   = "seat"
)

const (
	tickEvery  = 50 * time.Millisecond  // (ours)
	seatEvery  = 300 * time.Millisecond // how often an empty core tries for its seat (ours)
	voteLimit  = 2 * time.Second        // (ours)
	orderLimit = 3 * time.Second        // how long an order may take (ours)
	seatLimit  = 2 * time.Second        // how long a change of the set may hold up others (ours)
	lookEvery  = 300 * time.Millisecond // how often a majority is asked for newer words (ours)
	moreFor    = 100 * time.Millisecond // how long a complete round waits for what else it may tell (ours)
	// regainLimit is how long an order waits for a contact that was missed; whoever
	// gave it takes a second of silence for a failure.
	regainLimit = 700 * time.Millisecond // (ours)
	probeEvery  = 500 * time.Millisecond // how often a disk that failed is tried (ours)
)

// Peers reaches the other slots.
type Peers interface {
	// Addr finds the core that sits, or would sit, in a slot.
	Addr(slot int) (string, bool)
	// OnDuty tells whether this core is the first live and able one in the agreed order.
	OnDuty() bool
}

// Keeper runs the acceptor and the proposer of one core on one thread, next to its
// disk. (DESIGN 6)
type Keeper struct {
	Net      *transport.Net
	Launcher *actor.Launcher
	Log      *slog.Logger
	Peers    Peers
	// Settled is told of each newly settled word.
	Settled func(ctx context.Context, w config.Word)
	// Turned is told when the core has become able or unable; it must not wait.
	Turned func()

	box      *actor.Mailbox
	disk     *Disk
	acceptor Acceptor
	proposer *Proposer
	start    time.Time
	orders   map[uint64]chan<- Answer
	seated   time.Duration
	// trying is whether a try for the seat is under way, and asked the highest
	// incarnation asked for so far. A seat taken under a lower one than another try
	// was granted would be no seat: there is one try at a time, and each asks for more.
	trying bool
	asked  uint64
	shown  atomic.Pointer[Acceptor]
	health atomic.Pointer[Health]
	// able is as Turned was told last, probed when the disk was tried last.
	able   bool
	probed time.Duration
	// saving is whether a write to disk is under way; waiting is what comes after it.
	saving  bool
	waiting []transition
	// told is the stamp of the newest settled word that was passed on, seen the newest
	// mark that a majority showed, and unsettled whether it is not known to be settled.
	told      uint64
	seen      Mark
	unsettled bool
	// Confirmed is told that as of a moment no newer word than the one under
	// this stamp had been acknowledged.
	Confirmed func(ctx context.Context, at time.Time)
	sure      confirm
	// exchange has words told to other cores by differences.
	exchange exchange
}

// confirm is a look at a majority that waits for its stamp to be settled here.
type confirm struct {
	at    time.Time
	stamp uint64
	open  bool
}

type (
	msgBallot struct {
		b     Ballot
		reply chan<- *Vote
	}
	msgOrder struct {
		o     Order
		reply chan<- Answer
	}
	msgVote  struct{ v Vote }
	msgSaved struct {
		next Acceptor
		err  error
		done func(ctx context.Context, ok bool)
	}
	msgReads struct {
		votes map[int]Vote
	}
	msgSits struct {
		self  From
		votes map[int]Vote
	}
	msgLooked struct {
		at time.Time
		// top is the vote with the newest word; held tells whether majorities hold that.
		top  Vote
		held bool
	}
	msgTick struct{}
)

// NewKeeper loads the acceptor from disk and starts the keeper's actor.
func NewKeeper(l *actor.Launcher, d *Disk, s Start) (*Keeper, error) {
	v, err := d.Load(s)
	if err != nil {
		return nil, err
	}
	k := &Keeper{Launcher: l, disk: d, acceptor: v, start: time.Now(), orders: map[uint64]chan<- Answer{}}
	k.proposer = &Proposer{}
	k.proposer.Follow(v, 0)
	k.show()
	k.able = true
	k.note(Health{})
	k.box = l.Spawn("keeper", k.on)
	return k, nil
}

// Run keeps time until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	tick, look := time.NewTicker(tickEvery), time.NewTicker(lookEvery)
	defer tick.Stop()
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			k.box.Send(ctx, msgTick{})
		case <-look.C:
			k.Launcher.Go(ctx, "look", func(ctx context.Context) { k.look(ctx) })
		}
	}
}

// look asks a majority whether there is a newer word; false if none answers. What was
// acknowledged before it began is among the answers. (DESIGN 7.2)
func (k *Keeper) look(ctx context.Context) bool {
	begin := time.Now()
	top, held, ok := k.newest(ctx, Look)
	if ok {
		k.box.Send(ctx, msgLooked{at: begin, top: top, held: held})
	}
	return ok
}

// newest asks a majority for the newest word, by a Look or a Read. held tells whether
// majorities are known to hold it; more than a majority are asked to find out.
func (k *Keeper) newest(ctx context.Context, act Act) (top Vote, held, ok bool) {
	self := k.Acceptor()
	if self.Phase != Established {
		return Vote{}, false, false
	}
	own := self.Sets()
	judge := func(votes map[int]Vote) progress {
		counted := Counted(votes)
		if !Complete(counted, own) {
			return partial
		}
		if _, held := Newest(counted, own); !held {
			return complete
		}
		return enough
	}
	votes := Counted(k.gather(ctx, Ballot{From: self.Self, Act: act}, judge))
	if !Complete(votes, own) {
		return Vote{}, false, false
	}
	top, held = Newest(votes, own)
	return top, held, true
}

// Contact tells whether a majority answers a question put now, and the stamp of the
// newest word that it shows.
func (k *Keeper) Contact(ctx context.Context) (stamp uint64, ok bool) {
	top, _, ok := k.newest(ctx, Look)
	return top.Mark.Stamp, ok
}

// Acceptor shows the acceptor as it is on disk.
func (k *Keeper) Acceptor() Acceptor { return *k.shown.Load() }

// Health shows what the core can do.
func (k *Keeper) Health() Health { return *k.health.Load() }

// Able tells whether the core can do what the duty asks for. (DESIGN 6.3)
func (k *Keeper) Able() bool { return k.Health().Able(k.now()) }

// Connected tells whether a majority answered this core lately.
func (k *Keeper) Connected() bool { return k.Health().Connected(k.now()) }

// Woken tells whether the process was frozen just now.
func (k *Keeper) Woken() bool { return k.Health().Woken(k.now()) }

// now is the time since the keeper's start.
func (k *Keeper) now() time.Duration { return time.Since(k.start) }

func (k *Keeper) note(h Health) { k.health.Store(&h) }

// Ballot handles a ballot from the wire.
func (k *Keeper) Ballot(ctx context.Context, in transport.Request) (any, string) {
	var b Ballot
	if !in.Into(&b) {
		return nil, "not a ballot"
	}
	if v := k.vote(ctx, b); v != nil {
		return v, ""
	}
	return nil, "the disk does not take it"
}

func (k *Keeper) vote(ctx context.Context, b Ballot) *Vote {
	ctx, cancel := context.WithTimeout(ctx, voteLimit)
	defer cancel()
	v, _ := actor.Ask(ctx, k.box, func(r chan<- *Vote) any { return msgBallot{b, r} })
	return v
}

// Order handles an order that another core passed on.
func (k *Keeper) Order(ctx context.Context, in transport.Request) (any, string) {
	var o Order
	if !in.Into(&o) {
		return nil, "not an order"
	}
	return k.Write(ctx, o).told(o), ""
}

// Write carries an order out on this core. One that has missed the others asks them
// first: on a processor that is late, or just woken, the contact is only not known yet.
func (k *Keeper) Write(ctx context.Context, o Order) Answer {
	if !k.Connected() && !k.regain(ctx) {
		return Answer{Result: NotTaken}
	}
	o.ID = rand.Uint64()
	o.Until = time.Since(k.start) + orderLimit
	if o.Kind == Reseat {
		o.Until = time.Since(k.start) + seatLimit
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit+time.Second)
	defer cancel()
	if a, ok := actor.Ask(ctx, k.box, func(r chan<- Answer) any { return msgOrder{o, r} }); ok {
		return a
	}
	return Answer{Result: Unknown}
}

// regain asks a majority at once; false if none answers.
func (k *Keeper) regain(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, regainLimit)
	defer cancel()
	return k.look(ctx)
}

// ReadBack reads the newest word from a majority, and has it mended first if
// the majority does not hold it yet. (DESIGN 6.4)
func (k *Keeper) ReadBack(ctx context.Context, refresh func(ctx context.Context) Answer) (config.Word, bool) {
	top, held, ok := k.newest(ctx, Read)
	if !ok {
		return config.Word{}, false
	}
	if held {
		return top.Word, true
	}
	a := refresh(ctx)
	return a.Word, a.Result == Taken
}

// newestLooks is how often a majority is asked for the newest settled stamp, since what is
// being written is mostly settled a moment later. (ours)
const newestLooks = 3

// Newest is the newest settled stamp: all that was acknowledged before it was asked for
// is at or below it. The newest word is mended first if no majority holds it yet.
func (k *Keeper) Newest(ctx context.Context, refresh func(ctx context.Context) Answer) (uint64, bool) {
	for range newestLooks {
		top, held, ok := k.newest(ctx, Look)
		if !ok {
			return 0, false
		}
		if held {
			return top.Mark.Stamp, true
		}
	}
	a := refresh(ctx)
	return a.Word.Stamp, a.Result == Taken
}

// Catch copies a settled word that another core is known to have.
func (k *Keeper) Catch(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, voteLimit)
	defer cancel()
	var v Vote
	self := k.Acceptor().Self
	if k.Net.Call(ctx, addr, transport.Control, KindBallot, Ballot{From: self, Act: Read}).Into(&v) && v.Settled == v.Mark.Stamp {
		k.vote(ctx, Ballot{From: self, Act: Settle, Epoch: v.Mark.Epoch, Mark: v.Mark, Word: v.Word})
	}
}

// progress is how far votes have come.
type progress int

// Votes that are partial decide nothing yet; those that are complete do, but a few more
// may tell more; those that are enough end the round.
const (
	partial progress = iota
	complete
	enough
)

// gather puts a ballot to all slots known of, and those that votes tell of, and
// returns the votes that came in time, or the first that judge finds enough. Without a
// judge all are waited for.
func (k *Keeper) gather(ctx context.Context, b Ballot, judge func(votes map[int]Vote) progress) map[int]Vote {
	ctx, cancel := context.WithTimeout(ctx, voteLimit/2)
	defer cancel()
	more := time.NewTimer(voteLimit)
	defer more.Stop()
	far := partial
	own := k.Acceptor().Sets()
	in, open, asked := make(chan *Vote), 0, []config.Member{}
	ask := func(set []config.Member) {
		for _, s := range set {
			if slices.ContainsFunc(asked, func(a config.Member) bool { return same(a, s) }) {
				continue
			}
			asked = append(asked, s)
			open++
			k.Launcher.Go(ctx, "gather", func(ctx context.Context) {
				v := k.put(ctx, s, b)
				select {
				case in <- v:
				case <-ctx.Done():
				}
			})
		}
	}
	ask(own.Union())
	votes := map[int]Vote{}
	for ; open > 0; open-- {
		select {
		case v := <-in:
			if v != nil {
				votes[v.From.Slot] = *v
				ask(v.Sets.Union())
			}
		case <-more.C:
			return votes
		case <-ctx.Done():
			return votes
		}
		if judge == nil {
			continue
		}
		before := far
		if far = judge(votes); far == enough {
			break
		}
		if far == complete && before != complete {
			more.Reset(moreFor)
		}
	}
	return votes
}

// put brings a ballot to one member.
func (k *Keeper) put(ctx context.Context, m config.Member, b Ballot) *Vote {
	self := k.Acceptor().Self
	if m.Slot == self.Slot && (m.ID == 0 || m.ID == self.ID) {
		return k.vote(ctx, b)
	}
	addr, ok := k.Peers.Addr(m.Slot)
	if !ok {
		addr = m.Addr
	}
	if addr == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, voteLimit)
	defer cancel()
	v, ok := k.ask(ctx, addr, b)
	if !ok {
		return nil
	}
	return v.By(m)
}

func (k *Keeper) on(ctx context.Context, msg any) {
	now := k.now()
	switch m := msg.(type) {
	case msgBallot:
		k.ballot(ctx, m)
	case msgOrder:
		k.order(ctx, m, now)
	case msgVote:
		k.obey(ctx, k.proposer.Hear(m.v, now))
	case msgSaved:
		k.saved(ctx, m)
	case msgReads:
		k.tryBirth(ctx, m.votes)
	case msgSits:
		k.trySeat(ctx, m)
	case msgLooked:
		k.looked(ctx, m)
	case msgTick:
		k.note(k.Health().Seen(now))
		k.tick(ctx, now)
	}
	if k.sure.open && k.told >= k.sure.stamp {
		k.sure.open = false
		k.Confirmed(ctx, k.sure.at)
	}
}

// ballot puts a ballot to the own acceptor. What it only shows is what is on disk, and
// shown at once. Any other vote is sent when what it stands for is on disk.
func (k *Keeper) ballot(ctx context.Context, m msgBallot) {
	if m.b.Act == Look || m.b.Act == Read {
		_, vote := k.acceptor.On(m.b)
		m.reply <- &vote
		return
	}
	if m.b.Act == Settle && k.acceptor.admit(m.b) {
		// Majorities hold it: whether the own disk takes it too changes nothing of that.
		k.tell(ctx, m.b.Word)
	}
	var vote Vote
	decide := func(v Acceptor) (next Acceptor, ok bool) {
		next, vote = v.On(m.b)
		return next, true
	}
	done := func(_ context.Context, ok bool) {
		if ok {
			m.reply <- &vote
			return
		}
		m.reply <- nil
	}
	k.submit(ctx, transition{decide: decide, done: done, until: k.now() + voteLimit})
}

// order hands an order to the proposer. A core that has no contact with a majority takes
// none: the order could only run out of time here, and whoever gave it may go to
// another core at once. Nor does the proposer raise epochs that would disturb the others
// once the contact is back. (DESIGN 6.3)
func (k *Keeper) order(ctx context.Context, m msgOrder, now time.Duration) {
	if k.acceptor.Phase != Established || !k.Health().Connected(now) {
		m.reply <- Answer{Result: NotTaken}
		return
	}
	k.orders[m.o.ID] = m.reply
	k.obey(ctx, k.proposer.Take(m.o, now))
}

// looked takes what a majority showed. A newest word that is still not passed on when
// it is seen again is copied if majorities hold it; if not, the core on duty has it
// finished, whoever holds it.
func (k *Keeper) looked(ctx context.Context, m msgLooked) {
	k.note(k.Health().Contacted(m.at.Sub(k.start)))
	mark := m.top.Mark
	if !k.sure.open || m.at.After(k.sure.at) && mark.Stamp <= k.sure.stamp {
		k.sure = confirm{at: m.at, stamp: mark.Stamp, open: true}
	}
	behind := mark.Stamp > k.told && mark == k.seen
	k.seen = mark
	k.unsettled = behind && !m.held
	if behind && m.held {
		k.Launcher.Go(ctx, "copy", func(ctx context.Context) { k.copy(ctx, m.top) })
	}
}

// copy takes a word that majorities hold from one that holds it.
func (k *Keeper) copy(ctx context.Context, holder Vote) {
	self := k.Acceptor()
	if self.Mark != holder.Mark {
		ctx, cancel := context.WithTimeout(ctx, voteLimit)
		defer cancel()
		v := k.put(ctx, holder.member(), Ballot{From: self.Self, Act: Read})
		if v == nil || v.Mark != holder.Mark {
			return // it has gone on; the next look shows it
		}
		self.Word = v.Word
	}
	k.vote(ctx, Ballot{From: self.Self, Act: Settle, Epoch: holder.Mark.Epoch, Mark: holder.Mark, Word: self.Word})
}

func (k *Keeper) tick(ctx context.Context, now time.Duration) {
	k.turn(ctx, now)
	k.probe(ctx, now)
	if k.acceptor.Struck() && !k.saving {
		k.Log.Info("the slot was struck", "slot", k.acceptor.Self.Slot)
		k.leave(ctx, now)
	}
	switch k.acceptor.Phase {
	case Seeking:
		return // the core asks for a seat
	case Virgin, Lost:
		if !k.trying && (now-k.seated >= seatEvery || k.seated == 0) {
			k.seated, k.trying = now, true
			k.Launcher.Go(ctx, "look-for-seat", func(ctx context.Context) {
				k.box.Send(ctx, msgReads{k.others(ctx, Ballot{From: k.Acceptor().Self, Act: Read})})
			})
		}
		return
	}
	k.proposer.Follow(k.acceptor, now)
	if k.refreshDue(now) {
		k.seated = now
		o := Order{ID: rand.Uint64(), Kind: Refresh, Until: now + orderLimit}
		k.orders[o.ID] = make(chan Answer, 1)
		k.obey(ctx, k.proposer.Take(o, now))
	}
	k.obey(ctx, k.proposer.Tick(now))
}

// refreshDue tells whether this core has to make sure of the newest word: one that no
// majority is known to hold, here or with another, as after a cold start or when a
// proposer stopped half way. That is for the core on duty.
func (k *Keeper) refreshDue(now time.Duration) bool {
	open := k.acceptor.Mark.Stamp > k.acceptor.Settled || len(k.acceptor.Word.Formerly) > 0 || k.unsettled
	return open && len(k.orders) == 0 && now-k.seated >= seatEvery && k.Health().Connected(now) && k.Peers.OnDuty()
}

// turn tells of it when the core has become able or unable. Orders that were not
// proposed yet are given back then: the core that has the duty now can take them.
func (k *Keeper) turn(ctx context.Context, now time.Duration) {
	able, connected := k.Health().Able(now), k.Health().Connected(now)
	if !connected || !able && !k.Peers.OnDuty() {
		k.obey(ctx, k.proposer.GiveBack())
	}
	if able == k.able {
		return
	}
	k.able = able
	k.Log.Info("ability", "able", able, "durable", k.Health().Durable(now), "connected", connected)
	if k.Turned != nil {
		k.Turned()
	}
}

func (k *Keeper) show() {
	v := k.acceptor
	k.shown.Store(&v)
}

// tell passes a settled word on, if it is newer than what was.
func (k *Keeper) tell(ctx context.Context, w config.Word) {
	if w.Stamp <= k.told {
		return
	}
	k.told = w.Stamp
	k.Settled(ctx, w)
}

func (k *Keeper) obey(ctx context.Context, outs []Outcome) {
	for _, o := range outs {
		if o.Answer != nil {
			if reply, ok := k.orders[o.Answer.ID]; ok {
				reply <- *o.Answer
				delete(k.orders, o.Answer.ID)
			}
		}
		for _, s := range o.To {
			k.Launcher.Go(ctx, "ballot", func(ctx context.Context) {
				if v := k.put(ctx, s, *o.Ballot); v != nil {
					k.box.Send(ctx, msgVote{*v})
				}
			})
		}
	}
}
