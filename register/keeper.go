package register

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/desired"
	"curlewwalk/launch"
	"curlewwalk/wire"
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
)

// Peers reaches the other slots.
type Peers interface {
	// Addr finds the core that sits, or would sit, in a slot.
	Addr(slot int) (string, bool)
	// OnDuty tells whether this core is the first live one in the agreed order.
	OnDuty() bool
}

// Keeper runs the voter and the clerk of one core on one thread, next to its
// disk. (DESIGN 6)
type Keeper struct {
	Net      *wire.Net
	Launcher *launch.Launcher
	Log      *slog.Logger
	Peers    Peers
	// Settled is told of each newly settled word.
	Settled func(ctx context.Context, w desired.Word)

	box    *launch.Mailbox
	disk   *Disk
	voter  Voter
	clerk  *Clerk
	start  time.Time
	orders map[uint64]chan<- Answer
	seated time.Duration
	// trying is whether a try for the seat is under way, and asked the highest
	// incarnation asked for so far. A seat taken under a lower one than another try
	// was granted would be no seat: there is one try at a time, and each asks for more.
	trying bool
	asked  uint64
	shown  atomic.Pointer[Voter]
	told   uint64
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
	msgReads struct {
		votes map[int]Vote
	}
	msgSits struct {
		self  From
		votes map[int]Vote
	}
	msgLooked struct {
		at    time.Time
		stamp uint64
	}
	msgTick struct{}
)

// NewKeeper loads the voter from disk and starts the keeper's actor.
func NewKeeper(l *launch.Launcher, d *Disk, s Start) (*Keeper, error) {
	v, err := d.Load(s)
	if err != nil {
		return nil, err
	}
	k := &Keeper{Launcher: l, disk: d, voter: v, start: time.Now(), orders: map[uint64]chan<- Answer{}}
	k.clerk = &Clerk{}
	k.clerk.Follow(v, 0)
	k.show()
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
			k.Launcher.Go(ctx, "look", k.look)
		}
	}
}

// look asks a majority whether there is a newer word. What was acknowledged
// before it began is among the answers. (DESIGN 7.2)
func (k *Keeper) look(ctx context.Context) {
	begin := time.Now()
	self := k.Voter()
	if self.Phase != Established {
		return
	}
	votes := Counted(k.gather(ctx, Ballot{From: self.Self, Act: Look}, true))
	if !Complete(votes, self.Sets()) {
		return
	}
	top, _ := Newest(votes, self.Sets())
	k.box.Send(ctx, msgLooked{begin, top.Mark.Stamp})
}

// Voter shows the voter as it stands.
func (k *Keeper) Voter() Voter { return *k.shown.Load() }

// Ballot handles a ballot from the wire.
func (k *Keeper) Ballot(ctx context.Context, in wire.Inquiry) (any, string) {
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
	v, _ := launch.Ask(ctx, k.box, func(r chan<- *Vote) any { return msgBallot{b, r} })
	return v
}

// Order handles an order that another core passed on.
func (k *Keeper) Order(ctx context.Context, in wire.Inquiry) (any, string) {
	var o Order
	if !in.Into(&o) {
		return nil, "not an order"
	}
	return k.Write(ctx, o).told(o), ""
}

// Write carries an order out on this core.
func (k *Keeper) Write(ctx context.Context, o Order) Answer {
	o.ID = rand.Uint64()
	o.Until = time.Since(k.start) + orderLimit
	if o.Kind == Reseat {
		o.Until = time.Since(k.start) + seatLimit
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit+time.Second)
	defer cancel()
	if a, ok := launch.Ask(ctx, k.box, func(r chan<- Answer) any { return msgOrder{o, r} }); ok {
		return a
	}
	return Answer{Result: Unknown}
}

// ReadBack reads the newest word from a majority, and has it mended first if
// the majority does not hold it yet. (DESIGN 6.4)
func (k *Keeper) ReadBack(ctx context.Context, refresh func(ctx context.Context) Answer) (desired.Word, bool) {
	self := k.Voter()
	votes := Counted(k.gather(ctx, Ballot{From: self.Self, Act: Read}, true))
	if !Complete(votes, self.Sets()) {
		return desired.Word{}, false
	}
	top, held := Newest(votes, self.Sets())
	if held {
		return top.Word, true
	}
	a := refresh(ctx)
	return a.Word, a.Result == Taken
}

// Catch copies a settled word that another core is known to have.
func (k *Keeper) Catch(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, voteLimit)
	defer cancel()
	var v Vote
	self := k.Voter().Self
	if k.Net.Call(ctx, addr, wire.Control, KindBallot, Ballot{From: self, Act: Read}).Into(&v) && v.Settled == v.Mark.Stamp {
		k.vote(ctx, Ballot{From: self, Act: Settle, Epoch: v.Mark.Epoch, Mark: v.Mark, Word: v.Word})
	}
}

// gather puts a ballot to all slots known of, and those that votes tell of, and
// returns the votes that came in time, or the first that are complete if that is
// enough.
func (k *Keeper) gather(ctx context.Context, b Ballot, enough bool) map[int]Vote {
	ctx, cancel := context.WithTimeout(ctx, voteLimit/2)
	defer cancel()
	own := k.Voter().Sets()
	in, open, asked := make(chan *Vote), 0, []desired.Member{}
	ask := func(set []desired.Member) {
		for _, s := range set {
			if slices.ContainsFunc(asked, func(a desired.Member) bool { return same(a, s) }) {
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
		case <-ctx.Done():
			return votes
		}
		if enough && Complete(Counted(votes), own) {
			break
		}
	}
	return votes
}

// put brings a ballot to one member.
func (k *Keeper) put(ctx context.Context, m desired.Member, b Ballot) *Vote {
	self := k.Voter().Self
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
	now := time.Since(k.start)
	switch m := msg.(type) {
	case msgBallot:
		m.reply <- k.take(ctx, m.b)
	case msgOrder:
		if k.voter.Phase != Established {
			m.reply <- Answer{Result: NotTaken}
			return
		}
		k.orders[m.o.ID] = m.reply
		k.obey(ctx, k.clerk.Take(m.o, now))
	case msgVote:
		k.obey(ctx, k.clerk.Hear(m.v, now))
	case msgReads:
		k.trying = k.tryBirth(ctx, m.votes)
	case msgSits:
		k.trying = false
		if next, ok := k.voter.Seated(m.self, m.votes); ok && k.save(next) {
			k.Log.Info("took the seat", "slot", m.self.Slot, "incarnation", m.self.Inc, "stamp", next.Mark.Stamp)
			k.tell(ctx)
		}
	case msgLooked:
		if !k.sure.open || m.at.After(k.sure.at) && m.stamp <= k.sure.stamp {
			k.sure = confirm{at: m.at, stamp: m.stamp, open: true}
		}
	case msgTick:
		k.tick(ctx, now)
	}
	if k.sure.open && k.told >= k.sure.stamp {
		k.sure.open = false
		k.Confirmed(ctx, k.sure.at)
	}
}

func (k *Keeper) tick(ctx context.Context, now time.Duration) {
	if k.voter.Struck() {
		k.Log.Info("the slot was struck", "slot", k.voter.Self.Slot)
		k.save(k.voter.Afresh(rand.Uint64() | 1))
	}
	switch k.voter.Phase {
	case Seeking:
		return // the core asks for a seat
	case Virgin, Lost:
		if !k.trying && (now-k.seated >= seatEvery || k.seated == 0) {
			k.seated, k.trying = now, true
			k.Launcher.Go(ctx, "look-for-seat", func(ctx context.Context) {
				k.box.Send(ctx, msgReads{k.others(ctx, Ballot{From: k.Voter().Self, Act: Read})})
			})
		}
		return
	}
	k.clerk.Follow(k.voter, now)
	// A word that no majority is known to hold is made sure of by the core on
	// duty: after a cold start, or when a clerk stopped half way.
	if (k.voter.Mark.Stamp > k.voter.Settled || len(k.voter.Word.Formerly) > 0) && len(k.orders) == 0 && k.Peers.OnDuty() && now-k.seated >= seatEvery {
		k.seated = now
		o := Order{ID: rand.Uint64(), Kind: Refresh, Until: now + orderLimit}
		k.orders[o.ID] = make(chan Answer, 1)
		k.obey(ctx, k.clerk.Take(o, now))
	}
	k.obey(ctx, k.clerk.Tick(now))
}

func (k *Keeper) others(ctx context.Context, b Ballot) map[int]Vote {
	votes := k.gather(ctx, b, false)
	delete(votes, k.Voter().Self.Slot)
	return votes
}

// tryBirth goes on with a try for the seat; true if it asks the others for it.
func (k *Keeper) tryBirth(ctx context.Context, votes map[int]Vote) bool {
	if k.voter.Phase == Established {
		return false
	}
	if next, ok := k.voter.Born(votes); ok {
		if k.save(next) {
			k.Log.Info("born", "slot", next.Self.Slot, "slots", next.Founded)
		}
		return false
	}
	self, may := k.voter.Claimant(votes)
	if !may {
		return false
	}
	k.asked = max(k.asked+1, self.Inc)
	self.Inc = k.asked
	k.Launcher.Go(ctx, "sit", func(ctx context.Context) {
		k.box.Send(ctx, msgSits{self, k.others(ctx, Ballot{From: self, Act: Sit})})
	})
	return true
}

// take puts a ballot to the own voter. The vote is only sent when what it
// stands for is on disk.
func (k *Keeper) take(ctx context.Context, b Ballot) *Vote {
	next, vote := k.voter.On(b)
	if !k.save(next) {
		return nil
	}
	k.tell(ctx)
	return &vote
}

func (k *Keeper) save(next Voter) bool {
	if err := k.disk.Save(next); err != nil {
		k.Log.Error("the disk does not take the register", "error", err)
		return false
	}
	k.voter = next
	k.clerk.Follow(next, time.Since(k.start))
	k.show()
	return true
}

func (k *Keeper) show() {
	v := k.voter
	k.shown.Store(&v)
}

// tell passes a newly settled word on.
func (k *Keeper) tell(ctx context.Context) {
	if v := k.voter; v.Settled > k.told && v.Settled == v.Mark.Stamp {
		k.told = v.Settled
		k.Settled(ctx, v.Word)
	}
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
