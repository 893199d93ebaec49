package consensus

import (
	"bytes"
	"slices"
	"time"

	"curlewwalk/internal/config"
)

const (
	resendAfter = 250 * time.Millisecond // (ours)
	yieldFor    = 100 * time.Millisecond // (ours)
	// comeWithin is how long those that a changed set needs may take to answer; other
	// orders wait meanwhile.
	comeWithin = 500 * time.Millisecond // (ours)
	// finishWithin is how long a proposal that no order waits for may take, such as the
	// one that ends a change of the set.
	finishWithin = time.Second // (ours)
)

type proposerPhase int

const (
	idle proposerPhase = iota
	preparing
	proposing
	probing // whether what a changed set needs is there
)

// Proposer writes the word on behalf of the duty core, one order at a time, under
// an epoch that a majority has promised to. (DESIGN 6.3)
type Proposer struct {
	Self    From
	Founded int

	founders []config.Member
	sets     Sets // of the own acceptor
	asked    []config.Member
	opened   time.Duration // when this round of votes was
	phase    proposerPhase
	epoch    uint64 // zero: none held
	known    uint64 // the highest epoch heard of
	mark     Mark
	word     config.Word
	base     Mark
	held     config.Word
	own      bool // the proposal is the first order's, not a half-done one's
	orders   []Order
	votes    map[int]Vote
	against  map[int]Vote // of this round, for another epoch
	sent     time.Duration
	rest     time.Duration // no new epoch before this
	began    time.Duration // when the epoch was asked for
}

// Take queues an order.
func (c *Proposer) Take(o Order, now time.Duration) []Outcome {
	o.at = now
	if o.Kind == Put && o.Generation != 0 && o.Digest == nil {
		o.Digest = config.Digest(o.Sent, o.Bytes)
	}
	c.orders = append(c.orders, o)
	return c.proceed(now)
}

// Hear takes a vote.
func (c *Proposer) Hear(v Vote, now time.Duration) []Outcome {
	c.known = max(c.known, v.Promised)
	if c.phase == idle || v.Epoch != c.epoch || (c.phase == preparing || c.phase == probing) != (v.Act == Prepare) || (c.phase == proposing) != (v.Act == Propose) {
		return nil
	}
	if c.phase == proposing && v.OK && v.Mark != c.mark {
		return nil // a late vote for an earlier word of this epoch
	}
	if !v.OK {
		if v.Promised > c.epoch {
			c.denied(v, now)
		}
		return nil
	}
	c.votes[v.From.Slot] = v
	votes := Counted(c.votes)
	// The own promise must be on disk first: it keeps a restarted proposer from
	// taking the same epoch again. (DESIGN 6.3)
	_, self := votes[c.Self.Slot]
	sets := c.setsOf(c.word)
	if c.phase == preparing {
		_, sets = Top(votes, c.sets)
	}
	switch {
	case !self || !sets.Quorum(votes):
		return c.further(v.Sets.Union())
	case c.phase == probing:
		if s := c.orders[0].Seat; s.Slot != 0 && !has([]config.Member{s}, votes[s.Slot].From) {
			return nil
		}
		c.orders[0].proposed = c.mark
		return c.begin(proposing, now)
	case c.phase == preparing:
		return c.prepared(votes, now)
	}
	return c.settled(now)
}

// denied takes a vote for a higher epoch. While a proposal can still be settled without
// that acceptor, the proposer goes on under its own: a core that was cut off with a promise
// that nobody else gave comes back without a new epoch. (DESIGN 6.3)
func (c *Proposer) denied(v Vote, now time.Duration) {
	c.against[v.From.Slot] = v
	_, self := c.against[c.Self.Slot]
	if c.phase != proposing || self || !c.setsOf(c.word).reachable(c.against) {
		c.drop(now)
	}
}

// Tick lets time pass.
func (c *Proposer) Tick(now time.Duration) []Outcome {
	var out []Outcome
	for i := 0; i < len(c.orders); i++ {
		o := c.orders[i]
		if now < o.Until {
			continue
		}
		res := NotTaken
		if o.proposed != (Mark{}) {
			res = Unknown
			if i == 0 && c.phase == proposing && c.own {
				c.drop(now) // the half-done word is found or superseded by the next epoch
			}
		}
		if c.phase == probing && i == 0 {
			c.phase = idle // nobody has its word
		}
		out = append(out, Outcome{Answer: &Answer{ID: o.ID, Result: res}})
		c.orders = slices.Delete(c.orders, i, i+1)
		i--
	}
	if c.phase == probing && now-c.opened >= comeWithin {
		out = append(out, Outcome{Answer: &Answer{ID: c.orders[0].ID, Result: NotTaken}})
		c.orders = c.orders[1:]
		c.drop(now)
	}
	finishing := c.phase == proposing && !c.own && now-c.opened < finishWithin
	if c.phase != idle && len(c.orders) == 0 && !finishing {
		c.drop(now)
	}
	if c.phase != idle && now-c.sent >= resendAfter {
		if len(c.against) > 0 {
			c.drop(now) // it has to be majorities without them, and those don't answer
		} else {
			out = append(out, c.send(now)...)
		}
	}
	return append(out, c.proceed(now)...)
}

// GiveBack ends the orders that were not proposed: they surely never will be by this
// proposer, and another core may take them.
func (c *Proposer) GiveBack() (out []Outcome) {
	var kept []Order
	for i, o := range c.orders {
		if o.proposed != (Mark{}) {
			kept = append(kept, o)
			continue
		}
		if i == 0 && c.phase == probing {
			c.phase = idle // nobody has its word
		}
		out = append(out, Outcome{Answer: &Answer{ID: o.ID, Result: NotTaken}})
	}
	c.orders = kept
	return out
}

func (c *Proposer) drop(now time.Duration) {
	c.phase, c.epoch = idle, 0
	rank := 1
	for _, m := range c.sets.Now {
		if m.Slot < c.Self.Slot {
			rank++
		}
	}
	c.rest = now + yieldFor*time.Duration(rank)
}

func (c *Proposer) proceed(now time.Duration) []Outcome {
	var out []Outcome
	for c.phase == idle && len(c.orders) > 0 {
		if c.epoch == 0 {
			if now < c.rest {
				return out
			}
			c.epoch = epochAfter(c.known, c.Self.Slot, c.Founded)
			c.began = now
			return append(out, c.begin(preparing, now)...)
		}
		c.overtake()
		o := &c.orders[0]
		ans, done := judgeReseat(c.held, c.setsOf(c.held).Now, *o)
		if !done {
			ans, done = c.judge(*o)
		}
		if done {
			if c.began < o.at && (o.Kind == Refresh || ans.Result == Mismatch || ans.Result == NotTaken) {
				// What is held may have been overtaken under a later epoch: only
				// an epoch begun since the order came proves it the newest.
				c.epoch = 0
				continue
			}
			c.orders = c.orders[1:]
			out = append(out, Outcome{Answer: &ans})
			continue
		}
		c.mark, c.word, c.own = Mark{Epoch: c.epoch, Stamp: c.held.Stamp + 1}, change(next(c.held, *o), c.setsOf(c.held).Now, *o), true
		if o.Kind == Reseat {
			// A change that its sets can't settle would hold up all that comes after: who
			// is needed for it must be there, the newcomer above all.
			return append(out, c.begin(probing, now)...)
		}
		o.proposed = c.mark
		out = append(out, c.begin(proposing, now)...)
	}
	return out
}

// overtake has the highest of the generations that wait go before the first, if that
// is one: once it is settled, the others need no write. Whoever gave them has no
// response yet, so any order among them is as good.
func (c *Proposer) overtake() {
	waits := func(o Order) bool { return o.Kind == Put && o.Generation != 0 && o.IfMatch == nil }
	if !waits(c.orders[0]) {
		return
	}
	top := 0
	for i, o := range c.orders {
		if waits(o) && o.Generation > c.orders[top].Generation {
			top = i
		}
	}
	if first := c.orders[top]; top > 0 {
		copy(c.orders[1:top+1], c.orders[:top])
		c.orders[0] = first
	}
}

// judge ends an order that needs no write.
func (c *Proposer) judge(o Order) (Answer, bool) {
	ans := Answer{ID: o.ID, Result: Taken, Word: c.held}
	if res, done := superseded(c.held, o); done {
		ans.Result = res
		return ans, true
	}
	switch {
	case o.Kind == Refresh:
		return ans, true
	case o.Kind == Begin && c.held.Noted(o.Window), o.Kind == End && !c.held.Noted(o.Window):
		return ans, true // whoever had the duty before has seen to it
	case o.Kind == Put && o.Generation != 0 && o.Generation <= c.held.Generation:
		ans.Result = repeated(c.held, o)
		return ans, true
	case o.Kind == Put && o.Generation != 0 && o.proposed.Stamp != 0 && o.IfMatch == nil:
		// Generations never fall, so it was not taken, and a word under a later epoch
		// stands in its way for good: it is proposed once more.
		return ans, false
	case o.Since != nil && o.proposed.Stamp != 0 && o.IfMatch == nil:
		return ans, false // it is not on record, so it was not taken, as above
	case o.proposed.Stamp != 0 && c.held.Stamp > o.proposed.Stamp:
		ans.Result = Unknown
		return ans, true
	case o.proposed.Stamp != 0 && c.held.Stamp == o.proposed.Stamp && does(c.held, o):
		return ans, true
	case o.IfMatch != nil && o.Kind == Calendar && *o.IfMatch != c.held.CalendarStamp,
		o.IfMatch != nil && o.Kind != Calendar && *o.IfMatch != c.held.DesiredStamp:
		ans.Result = Mismatch
		return ans, true
	}
	return ans, false
}

// repeated is what becomes of a configuration whose number is no higher than the one
// held: the bytes that were taken under it are acknowledged again, others are refused,
// and a number that was passed over, or taken too long ago to be known, is acknowledged
// and changes nothing. What is held is settled, so no later word can tell otherwise.
// (DESIGN 6.3)
func repeated(held config.Word, o Order) Result {
	if same, known := held.TakenAs(o.Generation, o.Digest); known && !same {
		return Conflict
	}
	return Taken
}

// superseded ends an order on a zone if another, or this one, was taken there since
// it came. One that asked for the same makes it good as well; one that asked for the
// opposite is newer, and stays. (DESIGN 6.3)
func superseded(held config.Word, o Order) (Result, bool) {
	bound := o.IfMatch == nil || *o.IfMatch == held.DesiredStamp
	if o.Since == nil || o.Kind != Empty && o.Kind != TakeBack || !bound {
		return "", false
	}
	at, known := held.EvacuatedAt(o.Zone)
	switch {
	case at <= *o.Since:
		return "", false
	case known && slices.Contains(held.Emptied, o.Zone) == (o.Kind == Empty):
		return Taken, true
	}
	return Overtaken, true
}

// does tells whether a held word is what the order asked for.
func does(w config.Word, o Order) bool {
	switch o.Kind {
	case Put:
		return w.DesiredStamp == w.Stamp && bytes.Equal(w.Desired, o.Bytes) && (o.Generation == 0 || w.Generation == o.Generation)
	case Calendar:
		return w.CalendarStamp == w.Stamp && bytes.Equal(w.Calendar, o.Bytes)
	case Empty:
		return slices.Contains(w.Emptied, o.Zone)
	case Begin:
		return w.Noted(o.Window)
	case End:
		return !w.Noted(o.Window)
	case Reseat:
		return false // judgeReseat looks at that
	}
	return !slices.Contains(w.Shut(), o.Zone)
}

// next is the word that an order makes of the one before.
func next(w config.Word, o Order) config.Word {
	w.Stamp++
	w.Emptied, w.Closures = slices.Clone(w.Emptied), slices.Clone(w.Closures)
	open := func() { w.Emptied = slices.DeleteFunc(w.Emptied, func(l string) bool { return l == o.Zone }) }
	switch o.Kind {
	case Put:
		w.Desired, w.DesiredStamp, w.Sent = o.Bytes, w.Stamp, nil
		if o.Generation != 0 {
			w.Generation, w.Sent, w.Taken = o.Generation, o.Sent, w.Take(o.Generation, o.Digest)
		}
	case Calendar:
		w.Calendar, w.CalendarStamp = o.Bytes, w.Stamp
	case Empty:
		open()
		w.Emptied = append(w.Emptied, o.Zone)
		slices.Sort(w.Emptied)
		w = w.Evacuate(o.Zone)
	case TakeBack:
		open()
		for i := range w.Closures {
			// It stays noted, so that it is not begun again.
			w.Closures[i].Waived = w.Closures[i].Waived || w.Closures[i].Zone == o.Zone
		}
		w = w.Evacuate(o.Zone)
	case Begin:
		w.Closures = append(w.Closures, config.Closure{Zone: o.Zone, Window: o.Window})
	case End:
		w.Closures = slices.DeleteFunc(w.Closures, func(c config.Closure) bool { return c.Window == o.Window })
	}
	return w
}

// prepared: a majority promised; the highest word among them is proposed again
// under the own epoch, which finishes whatever was left half done.
func (c *Proposer) prepared(votes map[int]Vote, now time.Duration) []Outcome {
	c.base, c.held = Mark{}, config.Word{}
	for _, v := range votes {
		if c.base.Compare(v.Mark) < 0 {
			c.base, c.held = v.Mark, v.Word
		}
	}
	if c.base == (Mark{}) {
		c.phase = idle
		return c.proceed(now)
	}
	c.mark, c.word, c.own = Mark{Epoch: c.epoch, Stamp: c.base.Stamp}, c.held, false
	return c.begin(proposing, now)
}

// settled: a majority holds the proposal.
func (c *Proposer) settled(now time.Duration) []Outcome {
	c.base, c.held = c.mark, c.word
	c.phase = idle
	out := []Outcome{{Ballot: &Ballot{From: c.Self, Act: Settle, Epoch: c.epoch, Mark: c.mark, Word: c.word}, To: union(c.asked, c.sets.Union())}}
	if c.own {
		out = append(out, Outcome{Answer: &Answer{ID: c.orders[0].ID, Result: Taken, Word: c.word}})
		c.orders = c.orders[1:]
	}
	if len(c.word.Formerly) > 0 {
		// Until the next word majorities of both sets are needed: it is written at once.
		c.mark.Stamp++
		c.word, c.own = sealed(c.word), false
		return append(out, c.begin(proposing, now)...)
	}
	return append(out, c.proceed(now)...)
}

// begin opens a new round of votes.
func (c *Proposer) begin(p proposerPhase, now time.Duration) []Outcome {
	c.phase, c.votes, c.against, c.opened = p, map[int]Vote{}, map[int]Vote{}, now
	c.asked = union(c.sets.Union(), c.self())
	if p != preparing {
		c.asked = union(c.setsOf(c.word).Union(), c.self())
	}
	return c.send(now)
}

// self is the own acceptor, as far as no set names it.
func (c *Proposer) self() []config.Member {
	if has(c.sets.Union(), c.Self) {
		return nil
	}
	return []config.Member{{Slot: c.Self.Slot, ID: c.Self.ID}}
}

// setsOf are the sets of a word.
func (c *Proposer) setsOf(w config.Word) Sets {
	return Acceptor{Word: w, Founded: c.Founded, Founders: c.founders}.Sets()
}

// further puts the current ballot to members that a vote has told of as well.
func (c *Proposer) further(told []config.Member) []Outcome {
	more := slices.DeleteFunc(told, func(m config.Member) bool {
		return slices.ContainsFunc(c.asked, func(a config.Member) bool { return same(a, m) })
	})
	if c.phase != preparing || len(more) == 0 {
		return nil
	}
	c.asked = union(c.asked, more)
	return []Outcome{{Ballot: c.ballot(), To: more}}
}

// send puts the current ballot to every slot that has not voted for it.
func (c *Proposer) send(now time.Duration) []Outcome {
	c.sent = now
	to := slices.DeleteFunc(slices.Clone(c.asked), func(m config.Member) bool { _, ok := c.votes[m.Slot]; return ok })
	return []Outcome{{Ballot: c.ballot(), To: to}}
}

func (c *Proposer) ballot() *Ballot {
	b := &Ballot{From: c.Self, Act: Prepare, Epoch: c.epoch}
	switch c.phase {
	case proposing:
		b.Act, b.Mark, b.Word = Propose, c.mark, c.word
	case probing:
		b.Word.Slots, b.Word.Formerly, b.Mark = c.word.Slots, c.word.Formerly, c.mark // what it is for
	}
	return b
}

// Follow tells the proposer how the own acceptor stands. One without a seat can't go on
// with what it began.
func (c *Proposer) Follow(v Acceptor, now time.Duration) {
	if v.Phase != Established && c.phase != idle {
		c.drop(now)
	}
	c.Self, c.Founded, c.founders, c.sets = v.Self, v.Founded, v.Founders, v.Sets()
	c.known = max(c.known, v.Promised)
}
