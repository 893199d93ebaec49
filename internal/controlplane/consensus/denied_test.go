package consensus

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// rehearse puts what a proposer wants to acceptors, which answer at once, and returns the
// answers to orders. Slots in lost answer nothing.
func rehearse(c *Proposer, acceptors map[int]Acceptor, outs []Outcome, now time.Duration, lost ...int) (answers []Answer) {
	for len(outs) > 0 {
		o := outs[0]
		outs = outs[1:]
		if o.Answer != nil {
			answers = append(answers, *o.Answer)
		}
		for _, m := range o.To {
			if len(lost) > 0 && lost[0] == m.Slot {
				continue
			}
			next, vote := acceptors[m.Slot].On(*o.Ballot)
			acceptors[m.Slot] = next
			if m.Slot == c.Self.Slot {
				c.Follow(next, now)
			}
			outs = append(outs, c.Hear(vote, now)...)
		}
	}
	return answers
}

// A core comes back from a cut with a promise of an epoch that nobody else gave: the
// proposer on duty goes on under its own epoch while majorities are left without that core,
// and takes a higher one once they are not.
func TestPromiseOfOneDisturbsNothing(t *testing.T) {
	word := config.Word{Stamp: 2, DesiredStamp: 2}
	acceptors := map[int]Acceptor{}
	for slot := 1; slot <= 3; slot++ {
		acceptors[slot] = seated(slot, Mark{1 << 16, 2}, word)
	}
	c := &Proposer{}
	c.Follow(acceptors[2], 0)
	now := time.Duration(0)
	order := func(id uint64) []Outcome {
		return c.Take(Order{ID: id, Kind: Empty, Zone: "north", Until: now + orderLimit}, now)
	}
	if a := rehearse(c, acceptors, order(1), now); len(a) != 1 || a[0].Result != Taken {
		t.Fatalf("%+v", a)
	}
	epoch := c.epoch
	back := acceptors[1]
	back.Promised = epoch + 10<<16
	acceptors[1] = back
	now += time.Second
	if a := rehearse(c, acceptors, order(2), now); len(a) != 1 || a[0].Result != Taken || c.epoch != epoch {
		t.Fatalf("%+v under epoch %d, not %d", a, c.epoch, epoch)
	}
	// The third is gone: a majority needs the one that came back.
	now += time.Second
	answers := rehearse(c, acceptors, order(3), now, 3)
	for range 20 {
		now += tickEvery
		answers = append(answers, rehearse(c, acceptors, c.Tick(now), now, 3)...)
	}
	if len(answers) != 1 || answers[0].Result != Taken || c.epoch <= back.Promised {
		t.Errorf("%+v under epoch %d", answers, c.epoch)
	}
}
