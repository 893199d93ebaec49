package consensus

import (
	"slices"
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// seated is an acceptor of a set that holds a word.
func seated(slot int, m Mark, w config.Word) Acceptor {
	return Acceptor{Self: From{Slot: slot, Inc: 1, ID: uint64(100 + slot)}, Phase: Established, Promised: m.Epoch, Mark: m, Word: w, Settled: m.Stamp, Founders: set(1, 2, 3)}
}

// A proposer that was left behind asks those of each set that it hears of, and proposes
// nothing before majorities of the newest have promised.
func TestPrepareClosesOverSets(t *testing.T) {
	first := config.Word{Stamp: 1, Desired: []byte("old")}
	second := config.Word{Stamp: 3, Desired: []byte("old"), Slots: set(2, 3, 4), Top: 4}
	third := config.Word{Stamp: 6, Desired: []byte("new"), Slots: set(3, 4, 5), Top: 5}
	acceptors := map[int]Acceptor{1: seated(1, Mark{10, 1}, first), 2: seated(2, Mark{10, 3}, second)}
	for s := 3; s <= 5; s++ {
		acceptors[s] = seated(s, Mark{11, 6}, third)
	}
	c := &Proposer{}
	c.Follow(acceptors[1], 0)
	outs := c.Take(Order{ID: 1, Kind: Refresh, Until: time.Minute}, time.Second)
	asked := []int{}
	give := func(slots ...int) {
		b := outs[0].Ballot
		outs = nil
		for _, s := range slots {
			next, vote := acceptors[s].On(*b)
			acceptors[s] = next
			outs = append(outs, c.Hear(vote, time.Second)...)
		}
		for _, o := range outs {
			asked = append(asked, Slots(o.To)...)
			if o.Ballot.Act == Propose && !slices.Contains(asked, 5) {
				t.Fatalf("proposes %q before it has heard of the newest set", o.Ballot.Word.Desired)
			}
		}
	}
	give(1, 2) // a majority of the set that it knows of
	if c.phase != preparing || !slices.Equal(asked, []int{4}) {
		t.Fatalf("phase %d, asked %v", c.phase, asked)
	}
	give(4)
	if c.phase != preparing || !slices.Contains(asked, 5) {
		t.Fatalf("phase %d, asked %v", c.phase, asked)
	}
	give(5)
	if c.phase != proposing || string(c.word.Desired) != "new" {
		t.Fatalf("phase %d, proposes %q", c.phase, c.word.Desired)
	}
}

// A settled change is sealed by the next word at once, and nothing is proposed before
// those that it needs have answered.
func TestChangeIsSealed(t *testing.T) {
	acceptors := map[int]Acceptor{}
	for s := 1; s <= 3; s++ {
		acceptors[s] = Acceptor{Self: From{Slot: s, Inc: 1, ID: uint64(100 + s)}, Phase: Established, Founders: set(1, 2, 3)}
	}
	acceptors[4] = Acceptor{Self: From{ID: 104}, Phase: Seeking}
	run := func(up ...int) (answer Answer) {
		c := &Proposer{}
		now := time.Second
		c.Follow(acceptors[1], now)
		outs := c.Take(Order{ID: 1, Kind: Reseat, Seat: set(4)[0], Of: set(1, 2, 3), Until: time.Minute}, now)
		for range 1000 {
			if len(outs) == 0 {
				if answer.ID != 0 {
					return answer
				}
				now += 100 * time.Millisecond
				outs = c.Tick(now)
				continue
			}
			o := outs[0]
			outs = outs[1:]
			if o.Answer != nil {
				answer = *o.Answer
			}
			for _, m := range o.To {
				if slices.Contains(up, m.Slot) {
					next, vote := acceptors[m.Slot].On(*o.Ballot)
					acceptors[m.Slot] = next
					if v := vote.By(m); v != nil {
						outs = append(outs, c.Hear(*v, now)...)
					}
				}
			}
		}
		t.Fatal("it does not come to an end")
		return answer
	}
	if a := run(1, 2, 3); a.Result != NotTaken || acceptors[1].Mark != (Mark{}) {
		t.Errorf("without the newcomer: %s, %+v", a.Result, acceptors[1].Mark)
	}
	if a := run(1, 2, 3, 4); a.Result != Taken {
		t.Errorf("with it: %s", a.Result)
	}
	for s, v := range acceptors {
		if w := v.Word; w.Stamp != 2 || len(w.Formerly) != 0 || len(w.Slots) != 4 || !v.Member() {
			t.Errorf("%d holds %+v", s, w)
		}
	}
}

// A change that does not fit what the proposer holds is judged under a new epoch: what it
// holds may have been overtaken.
func TestChangeOnOvertakenWord(t *testing.T) {
	v := seated(1, Mark{}, config.Word{})
	v.Founders = set(1)
	c := &Proposer{}
	now := time.Second
	c.Follow(v, now)
	run := func(outs []Outcome) (last Result) {
		for len(outs) > 0 {
			o := outs[0]
			outs = outs[1:]
			if o.Answer != nil {
				last = o.Answer.Result
			}
			if len(o.To) > 0 && o.To[0].Slot == 1 {
				var vote Vote
				v, vote = v.On(*o.Ballot)
				outs = append(outs, c.Hear(vote, now)...)
			}
		}
		return last
	}
	if got := run(c.Take(Order{ID: 1, Kind: Put, Bytes: []byte("a"), Until: time.Minute}, now)); got != Taken {
		t.Fatal(got)
	}
	// Another proposer has struck slot 2 of a set that this one never heard of.
	w := v.Word
	w.Stamp, w.Slots, w.Top = 5, set(1), 2
	v, _ = v.On(Ballot{Act: Settle, Epoch: 1 << 20, Mark: Mark{1 << 20, 5}, Word: w})
	c.Follow(v, now)
	now += time.Second
	c.Take(Order{ID: 2, Kind: Reseat, Out: 1, Of: set(1, 2), Until: time.Minute}, now)
	if c.phase != preparing {
		t.Error("judged by a word that was overtaken")
	}
}

// The word that seals a change is brought to its end though time passes before its votes
// come and no order waits; but not for ever, if no majority votes.
func TestSealOutlastsTicks(t *testing.T) {
	for _, answered := range []bool{true, false} {
		acceptors := map[int]Acceptor{}
		for s := 1; s <= 4; s++ {
			acceptors[s] = Acceptor{Self: From{Slot: s, Inc: 1, ID: uint64(100 + s)}, Phase: Established, Founders: set(1, 2, 3, 4)}
		}
		c := &Proposer{}
		now := time.Second
		c.Follow(acceptors[1], now)
		outs := c.Take(Order{ID: 1, Kind: Reseat, Out: 4, Of: set(1, 2, 3, 4), Until: time.Minute}, now)
		sealed, settled := false, false
		for len(outs) > 0 {
			o := outs[0]
			outs = outs[1:]
			if o.Ballot == nil {
				continue
			}
			settled = settled || o.Ballot.Act == Settle && o.Ballot.Mark.Stamp == 2
			if o.Ballot.Act == Propose && o.Ballot.Mark.Stamp == 2 && !sealed {
				sealed = true
				now += 10 * time.Millisecond
				outs = append(outs, c.Tick(now)...)
			}
			for _, m := range o.To {
				if sealed && !answered {
					continue
				}
				next, vote := acceptors[m.Slot].On(*o.Ballot)
				acceptors[m.Slot] = next
				outs = append(outs, c.Hear(vote, now)...)
			}
		}
		if !sealed || settled != answered {
			t.Errorf("votes come %v: seal proposed %v, settled %v", answered, sealed, settled)
		}
		c.Tick(now + finishWithin)
		if c.phase != idle {
			t.Errorf("votes come %v: still in phase %d after %v", answered, c.phase, finishWithin)
		}
	}
}
