package e2e

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
)

// comers is a fleet of cores without static seats.
type comers struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context
	put int
}

// newComers lays out so many founders and starts them.
func newComers(t *testing.T, founders int) *comers {
	size := coresOnly(0)
	size.Machines = 0
	f, ctx := begin(t, size)
	c := &comers{Fleet: f, t: t, ctx: ctx}
	var addrs []string
	for i := range founders {
		addrs = append(addrs, f.CoreWire(i+1))
	}
	for i := range founders {
		f.NewComer(i+1, c.data(i+1), addrs...)
	}
	for _, p := range f.Cores {
		must(t, p.Start())
	}
	return c
}

func (c *comers) data(n int) string { return filepath.Join(c.Dir, fmt.Sprintf("core-%d", n)) }

// join starts a core more, on the nth machine, without any founders.
func (c *comers) join(n int) *fleet.Program {
	c.t.Helper()
	p := c.NewComer(n, c.data(n))
	must(c.t, p.Start())
	return p
}

// slots waits until all running cores are ready and tell one set of so many slots,
// and returns it.
func (c *comers) slots(n int) (set []int) {
	c.t.Helper()
	must(c.t, fleet.Await(c.ctx, fmt.Sprintf("a set of %d", n), func(ctx context.Context) bool {
		set = nil
		for _, p := range c.Cores {
			if !p.Running() {
				continue
			}
			var st struct {
				Phase string
				Self  struct{ Slot int }
				Slots struct{ Now, Before []struct{ Slot int } }
			}
			if _, err := p.Get(ctx, "/v1/state", &st); err != nil || len(st.Slots.Before) > 0 || len(st.Slots.Now) != n {
				return false
			}
			var now []int
			for _, s := range st.Slots.Now {
				now = append(now, s.Slot)
			}
			if set == nil {
				set = now
			}
			if status, err := p.Get(ctx, "/ready", nil); !slices.Equal(set, now) || !slices.Contains(now, st.Self.Slot) || err != nil || status != 200 {
				return false
			}
		}
		return true
	}))
	return set
}

// takes puts a new configuration at one core and reads it back from each.
func (c *comers) takes(at *fleet.Program) {
	c.t.Helper()
	c.put++
	body := configuration(c.put)
	must(c.t, fleet.Await(c.ctx, "a write", func(ctx context.Context) bool {
		r, err := c.Operate(ctx, at, "PUT", "/v1/desired", body)
		return err == nil && r.Status == 200
	}))
	c.holds(body)
}

// holds reads what was taken last back from each core.
func (c *comers) holds(body []byte) {
	c.t.Helper()
	for _, p := range c.Cores {
		if !p.Running() {
			continue
		}
		must(c.t, fleet.Await(c.ctx, "the reading back at "+p.Name, func(ctx context.Context) bool {
			r, err := c.Operate(ctx, p, "GET", "/v1/desired", nil)
			return err == nil && r.Status == 200 && bytes.Equal(r.Body, body)
		}))
	}
}

// Three founders are born at once and take an order; a fourth and a fifth join; one
// dies and an empty one at another address comes in its place; one loses its disk and
// comes back at its address; one goes for good, then another. What was taken stays,
// and each time a new configuration is taken.
func TestSeats(t *testing.T) {
	t.Parallel()
	begin := time.Now()
	c := newComers(t, 3)
	c.takes(c.Cores[1])
	t.Logf("took an order %v after the start", time.Since(begin).Round(time.Millisecond))
	c.slots(3)
	for n := 4; n <= 5; n++ {
		begin = time.Now()
		p := c.join(n)
		c.slots(n)
		t.Logf("core %d had a seat %v after its start", n, time.Since(begin).Round(time.Millisecond))
		c.takes(p)
	}
	c.Kill(c.Cores[0])
	begin = time.Now()
	p := c.join(6)
	if set := c.slots(5); slices.Contains(set, 1) {
		t.Errorf("the dead core's slot is still in %v", set)
	}
	t.Logf("core 6 had the dead one's place after %v", time.Since(begin).Round(time.Millisecond))
	c.takes(p)

	old := c.slots(5)
	wiped := c.Cores[2]
	wiped.Kill()
	must(t, os.RemoveAll(c.data(3)))
	wiped.Without("--first", "--founders")
	begin = time.Now()
	must(t, c.Revive(wiped))
	if set := c.slots(5); slices.Equal(set, old) {
		t.Errorf("the lost disk's slot is still in %v", set)
	}
	t.Logf("the wiped core was back after %v", time.Since(begin).Round(time.Millisecond))
	c.takes(wiped)

	// Two go for good: an odd set may lack one, but not two.
	c.Kill(c.Cores[3], c.Cores[4])
	c.slots(3)
	c.takes(c.Cores[1])
	// One comes back and finds its slot struck.
	must(t, c.Revive(c.Cores[3]))
	c.slots(4)
	c.takes(c.Cores[3])

	// All restart, whatever settings say now.
	for _, p := range c.Cores {
		if p.Running() {
			p.Kill()
			p.Without("--first", "--founders")
		}
	}
	must(t, c.Revive(c.Cores[1], c.Cores[2], c.Cores[3], c.Cores[5]))
	c.slots(4)
	c.holds(configuration(c.put))
	c.takes(c.Cores[5])
}

// An empty disk without --first is no birth: it waits for somebody to ask.
func TestNoBirthWithoutFirst(t *testing.T) {
	t.Parallel()
	c := newComers(t, 3)
	c.takes(c.Cores[0])
	for i, p := range c.Cores {
		p.Kill()
		must(t, os.RemoveAll(c.data(i+1)))
		p.Without("--first")
	}
	must(t, c.Revive(c.Cores...))
	// They hear of each other, and none makes itself out to be anything.
	must(t, fleet.Await(c.ctx, "all to seek", func(ctx context.Context) bool {
		for _, p := range c.Cores {
			var st struct{ Phase string }
			if _, err := p.Get(ctx, "/v1/state", &st); err != nil || st.Phase != "seeking" {
				return false
			}
		}
		return true
	}))
	for _, p := range c.Cores {
		if r, err := c.Operate(c.ctx, p, "PUT", "/v1/desired", configuration(9)); err != nil || r.Status != 503 {
			t.Errorf("%s took an order without a seat: %d %v", p.Name, r.Status, err)
		}
	}
}

// A minority of the disks is lost at once, right after an acknowledgement, and the
// power of all others too: what was acknowledged is there.
func TestDisksLostAtOnce(t *testing.T) {
	t.Parallel()
	c := newComers(t, 5)
	c.takes(c.Cores[4])
	for round := range 2 {
		lost := []int{round, 4 - round}
		c.put++
		body := configuration(c.put)
		must(t, fleet.Await(c.ctx, "a write", func(ctx context.Context) bool {
			r, err := c.Operate(ctx, c.Cores[lost[0]], "PUT", "/v1/desired", body)
			return err == nil && r.Status == 200
		}))
		c.Kill(c.Cores...)
		for _, i := range lost {
			must(t, os.RemoveAll(c.data(i+1)))
			c.Cores[i].Without("--first", "--founders")
		}
		must(t, c.Revive(c.Cores...))
		c.slots(5)
		c.holds(body)
	}
	c.takes(c.Cores[0])
}

// A planned replacement: the new core comes first, then the old one is stopped for
// good, and right after its end another loses its disk for good. The two that are left
// are a majority of the set without the one that was stopped: they serve, and hold what
// was taken.
func TestLossAfterPlannedReplacement(t *testing.T) {
	t.Parallel()
	c := newComers(t, 3)
	c.takes(c.Cores[1])
	c.join(4)
	c.slots(4)
	c.takes(c.Cores[3])
	if code := c.Cores[0].Stop(); code != 0 {
		t.Errorf("the stopped core ended with %d", code)
	}
	c.Kill(c.Cores[1])
	must(t, os.RemoveAll(c.data(2)))
	begin := time.Now()
	c.holds(configuration(c.put))
	c.takes(c.Cores[2])
	t.Logf("took an order %v after the second loss", time.Since(begin).Round(time.Millisecond))
	c.Cores[1].Without("--first", "--founders")
	must(t, c.Revive(c.Cores[1]))
	c.slots(3)
	// The stopped one may come back after all: it is seated anew.
	c.Cores[0].Without("--first", "--founders")
	must(t, c.Revive(c.Cores[0]))
	c.slots(4)
	c.takes(c.Cores[0])
}
