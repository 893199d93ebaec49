package watch

import (
	"fmt"
	"testing"
	"time"

	"curlewwalk/internal/membership"
)

var beginning = time.Unix(1000, 0)

func seatsOf(zones ...string) (out []membership.Seat) {
	for i, l := range zones {
		out = append(out, membership.Seat{Slot: i + 1, Addr: fmt.Sprint("core-", i+1), Boot: 1, Zone: l})
	}
	return out
}

// A follower asks a core of its own zone while there is one that lives, answers and
// is sure, whatever hashing says; else any other, and its own again later.
func TestOwnZoneFirst(t *testing.T) {
	live := seatsOf("north", "east", "south", "west", "north")
	for i := range 40 {
		c, now := newChoice(fmt.Sprint("side-", i), "east"), beginning
		if s, ok := c.next(live, now); !ok || s.Zone != "east" {
			t.Fatalf("side-%d follows %+v first", i, s)
		}
		if s, ok := newChoice(fmt.Sprint("side-", i), "nowhere").next(live, now); !ok || s.Addr == "" {
			t.Fatalf("side-%d of a locality without cores follows none", i)
		}
		c.took(2*unsure, now)
		s, _ := c.next(live, now)
		if s.Zone == "east" {
			t.Fatalf("side-%d stays with a core that is not sure", i)
		}
		c.took(0, now)
		now = now.Add(avoidFor / 2)
		if again, _ := c.next(live, now); again.Addr != s.Addr {
			t.Fatalf("side-%d leaves %v, which is sure, for %v", i, s, again)
		}
		now = now.Add(avoidFor / 2)
		if again, _ := c.next(live, now); again.Zone != "east" {
			t.Fatalf("side-%d never goes back to its own locality", i)
		}
	}
}

// Those of one zone are spread over its cores.
func TestZoneIsSpread(t *testing.T) {
	live, followers := seatsOf("north", "north", "south"), map[string]int{}
	for i := range 60 {
		s, _ := newChoice(fmt.Sprint("side-", i), "north").next(live, beginning)
		followers[s.Addr]++
	}
	if followers["core-1"] < 15 || followers["core-2"] < 15 || followers["core-3"] != 0 {
		t.Errorf("%v", followers)
	}
}

// While no core is sure, one that answers is stayed with: the others are no better.
func TestNoneIsSure(t *testing.T) {
	live, now := seatsOf("a", "b", "c"), beginning
	c := newChoice("side", "a")
	asked := map[string]bool{}
	for range 3 {
		s, _ := c.next(live, now)
		asked[s.Addr] = true
		c.took(time.Hour, now)
		now = now.Add(firstPause)
	}
	if len(asked) != 3 {
		t.Fatalf("asked %v only", asked)
	}
	at := c.core
	if s, _ := c.next(live, now); s.Addr != at.Addr {
		t.Errorf("went on from %v to %v within %v", at, s, unsure)
	}
	// One that is gone, or lives anew, is not stayed with.
	without := []membership.Seat{}
	for _, s := range live {
		if s.Addr != at.Addr {
			without = append(without, s)
		}
	}
	if s, ok := c.next(without, now); !ok || s.Addr == at.Addr {
		t.Errorf("follows %v, which does not live", s)
	}
}

// An answer that takes longer than the first patience, on a narrow link or from a late
// processor, comes through in the end, however few cores there are; and a follower that
// was answered is quick again to leave one that says nothing.
func TestPatience(t *testing.T) {
	for _, cores := range []int{1, 2, 5} {
		live, now := seatsOf("a", "b", "c", "d", "e")[:cores], beginning
		c, tries := newChoice("side", "a"), 0
		for need := 2500 * time.Millisecond; ; tries++ {
			if tries > 5 {
				t.Fatalf("%d cores: given up %d times, and on", cores, tries)
			}
			c.next(live, now)
			if c.patience >= need {
				break
			}
			now = now.Add(c.patience)
			c.missed(true, now)
		}
		if c.took(0, now); c.patience != firstPatience {
			t.Errorf("patience %v after an answer", c.patience)
		}
		if c.missed(false, now); c.patience != firstPatience {
			t.Errorf("patience %v after a refusal", c.patience)
		}
		for range 9 {
			c.missed(true, now)
		}
		if c.patience != mostPatience {
			t.Errorf("patience %v has no bound", c.patience)
		}
	}
}

// While no core answers or none lives, the pause between calls grows up to a bound, and
// the first answer takes it back; those who lost the same core come back spread.
func TestPauseGrows(t *testing.T) {
	c, now := newChoice("side-1", "north"), beginning
	c.next(seatsOf("north"), now)
	asked := 0
	for ; now.Sub(beginning) < 10*time.Second; asked++ {
		c.missed(false, now)
		if c.pause < firstPause || c.pause > mostPause {
			t.Fatalf("a pause of %v", c.pause)
		}
		now = now.Add(c.pause)
	}
	if asked > 30 {
		t.Errorf("asked %d times in 10 s", asked)
	}
	c.took(0, now)
	if c.none(); c.pause != firstPause {
		t.Errorf("%v after an answer", c.pause)
	}
	late := map[time.Duration]bool{}
	for range 100 {
		got := spread(firstPause)
		if late[got] = true; got < firstPause || got > firstPause*3/2 {
			t.Errorf("%v for %v", got, firstPause)
		}
	}
	if len(late) < 50 {
		t.Errorf("%d different pauses of 100", len(late))
	}
}
