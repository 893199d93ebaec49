package register

import (
	"bytes"
	"slices"
	"time"

	"curlewwalk/desired"
)

const (
	resendAfter = 250 * time.Millisecond // (ours)
	yieldFor    = 100 * time.Millisecond // (ours)
)

type clerkPhase int

const (
	idle clerkPhase = iota
	preparing
	proposing
)

// Clerk writes the word on behalf of the duty core, one order at a time, under
// an epoch that a majority has promised to. (DESIGN 6.3)
type Clerk struct {
	Self  From
	Slots int

	phase  clerkPhase
	epoch  uint64 // zero: none held
	known  uint64 // the highest epoch heard of
	mark   Mark
	word   desired.Word
	base   Mark
	held   desired.Word
	own    bool // the proposal is the first order's, not a half-done one's
	orders []Order
	votes  map[int]Vote
	sent   time.Duration
	rest   time.Duration // no new epoch before this
	began  time.Duration // when the epoch was asked for
}

// Take queues an order.
func (c *Clerk) Take(o Order, now time.Duration) []Outcome {
	o.at = now
	c.orders = append(c.orders, o)
	return c.proceed(now)
}

// Hear takes a vote.
func (c *Clerk) Hear(v Vote, now time.Duration) []Outcome {
	c.known = max(c.known, v.Promised)
	if c.phase == idle || v.Epoch != c.epoch || (c.phase == preparing) != (v.Act == Prepare) || (c.phase == proposing) != (v.Act == Propose) {
		return nil
	}
	if c.phase == proposing && v.OK && v.Mark != c.mark {
		return nil // a late vote for an earlier word of this epoch
	}
	if !v.OK {
		if v.Promised > c.epoch {
			c.drop(now)
		}
		return nil
	}
	c.votes[v.From.Slot] = v
	votes := Counted(c.votes)
	// The own promise must be on disk first: it keeps a restarted clerk from
	// taking the same epoch again. (DESIGN 6.3)
	if _, self := votes[c.Self.Slot]; !self || len(votes) < Majority(c.Slots) {
		return nil
	}
	if c.phase == preparing {
		return c.prepared(votes, now)
	}
	return c.settled(now)
}

// Tick lets time pass.
func (c *Clerk) Tick(now time.Duration) []Outcome {
	var out []Outcome
	for i := 0; i < len(c.orders); i++ {
		o := c.orders[i]
		if now < o.Until {
			continue
		}
		res := NotTaken
		if o.proposed != (Mark{}) {
			res = Unknown
			if c.phase == proposing && c.own {
				c.drop(now) // the half-done word is found or superseded by the next epoch
			}
		}
		out = append(out, Outcome{Answer: &Answer{ID: o.ID, Result: res}})
		c.orders = slices.Delete(c.orders, i, i+1)
		i--
	}
	if c.phase != idle && len(c.orders) == 0 {
		c.drop(now)
	}
	if c.phase != idle && now-c.sent >= resendAfter {
		out = append(out, c.send(now)...)
	}
	return append(out, c.proceed(now)...)
}

func (c *Clerk) drop(now time.Duration) {
	c.phase, c.epoch = idle, 0
	c.rest = now + yieldFor*time.Duration(c.Self.Slot)
}

func (c *Clerk) proceed(now time.Duration) []Outcome {
	var out []Outcome
	for c.phase == idle && len(c.orders) > 0 {
		if c.epoch == 0 {
			if now < c.rest {
				return out
			}
			c.epoch = (c.known/uint64(c.Slots)+1)*uint64(c.Slots) + uint64(c.Self.Slot)
			c.began = now
			return append(out, c.begin(preparing, now)...)
		}
		o := &c.orders[0]
		if ans, done := c.judge(*o); done {
			if c.began < o.at && (o.Kind == Refresh || ans.Result == Mismatch) {
				// What is held may have been overtaken under a later epoch: only
				// an epoch begun since the order came proves it the newest.
				c.epoch = 0
				continue
			}
			c.orders = c.orders[1:]
			out = append(out, Outcome{Answer: &ans})
			continue
		}
		c.mark, c.word, c.own = Mark{Epoch: c.epoch, Stamp: c.held.Stamp + 1}, next(c.held, *o), true
		o.proposed = c.mark
		out = append(out, c.begin(proposing, now)...)
	}
	return out
}

// judge ends an order that needs no write.
func (c *Clerk) judge(o Order) (Answer, bool) {
	ans := Answer{ID: o.ID, Result: Taken, Word: c.held}
	switch {
	case o.Kind == Refresh:
		return ans, true
	case o.Kind == Begin && c.held.Noted(o.Window), o.Kind == End && !c.held.Noted(o.Window):
		return ans, true // whoever had the duty before has seen to it
	case o.Kind == Put && o.Edition != 0 && o.Edition <= c.held.Edition:
		return ans, true // repeated, or overtaken by the operator itself
	case o.Kind == Put && o.Edition != 0 && o.proposed.Stamp != 0 && o.IfMatch == nil:
		// Editions never fall, so it was not taken, and a word under a later epoch
		// stands in its way for good: it is proposed once more.
		return ans, false
	case o.proposed.Stamp != 0 && c.held.Stamp > o.proposed.Stamp:
		ans.Result = Unknown
		return ans, true
	case o.proposed.Stamp != 0 && c.held.Stamp == o.proposed.Stamp && same(c.held, o):
		return ans, true
	case o.IfMatch != nil && o.Kind == Calendar && *o.IfMatch != c.held.CalendarStamp,
		o.IfMatch != nil && o.Kind != Calendar && *o.IfMatch != c.held.DesiredStamp:
		ans.Result = Mismatch
		return ans, true
	}
	return ans, false
}

// same tells whether a held word is what the order asked for.
func same(w desired.Word, o Order) bool {
	switch o.Kind {
	case Put:
		return w.DesiredStamp == w.Stamp && bytes.Equal(w.Desired, o.Bytes) && (o.Edition == 0 || w.Edition == o.Edition)
	case Calendar:
		return w.CalendarStamp == w.Stamp && bytes.Equal(w.Calendar, o.Bytes)
	case Empty:
		return slices.Contains(w.Emptied, o.Locality)
	case Begin:
		return w.Noted(o.Window)
	case End:
		return !w.Noted(o.Window)
	}
	return !slices.Contains(w.Shut(), o.Locality)
}

// next is the word that an order makes of the one before.
func next(w desired.Word, o Order) desired.Word {
	w.Stamp++
	w.Emptied, w.Closures = slices.Clone(w.Emptied), slices.Clone(w.Closures)
	open := func() { w.Emptied = slices.DeleteFunc(w.Emptied, func(l string) bool { return l == o.Locality }) }
	switch o.Kind {
	case Put:
		w.Desired, w.DesiredStamp, w.Sent = o.Bytes, w.Stamp, nil
		if o.Edition != 0 {
			w.Edition, w.Sent = o.Edition, o.Sent
		}
	case Calendar:
		w.Calendar, w.CalendarStamp = o.Bytes, w.Stamp
	case Empty:
		open()
		w.Emptied = append(w.Emptied, o.Locality)
		slices.Sort(w.Emptied)
	case TakeBack:
		open()
		for i := range w.Closures {
			// It stays noted, so that it is not begun again.
			w.Closures[i].Waived = w.Closures[i].Waived || w.Closures[i].Locality == o.Locality
		}
	case Begin:
		w.Closures = append(w.Closures, desired.Closure{Locality: o.Locality, Window: o.Window})
	case End:
		w.Closures = slices.DeleteFunc(w.Closures, func(c desired.Closure) bool { return c.Window == o.Window })
	}
	return w
}

// prepared: a majority promised; the highest word among them is proposed again
// under the own epoch, which finishes whatever was left half done.
func (c *Clerk) prepared(votes map[int]Vote, now time.Duration) []Outcome {
	c.base, c.held = Mark{}, desired.Word{}
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
func (c *Clerk) settled(now time.Duration) []Outcome {
	c.base, c.held = c.mark, c.word
	c.phase = idle
	out := []Outcome{{Ballot: &Ballot{From: c.Self, Act: Settle, Epoch: c.epoch, Mark: c.mark, Word: c.word}, To: c.all()}}
	if c.own {
		out = append(out, Outcome{Answer: &Answer{ID: c.orders[0].ID, Result: Taken, Word: c.word}})
		c.orders = c.orders[1:]
	}
	return append(out, c.proceed(now)...)
}

// begin opens a new round of votes.
func (c *Clerk) begin(p clerkPhase, now time.Duration) []Outcome {
	c.phase, c.votes = p, map[int]Vote{}
	return c.send(now)
}

// send puts the current ballot to every slot that has not voted for it.
func (c *Clerk) send(now time.Duration) []Outcome {
	b := &Ballot{From: c.Self, Act: Prepare, Epoch: c.epoch}
	if c.phase == proposing {
		b.Act, b.Mark, b.Word = Propose, c.mark, c.word
	}
	c.sent = now
	to := slices.DeleteFunc(c.all(), func(s int) bool { _, ok := c.votes[s]; return ok })
	return []Outcome{{Ballot: b, To: to}}
}

func (c *Clerk) all() []int {
	out := make([]int, c.Slots)
	for i := range out {
		out[i] = i + 1
	}
	return out
}

// Known tells the clerk of an epoch that the own voter has promised.
func (c *Clerk) Known(epoch uint64) { c.known = max(c.known, epoch) }
