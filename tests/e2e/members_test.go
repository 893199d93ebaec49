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

// dynamicFleet is a fleet of cores without static seats.
type dynamicFleet struct {
	*fleet.Fleet
	t    *testing.T
	ctx  context.Context
	puts int
}

// newDynamicFleet lays out so many founders and starts them.
func newDynamicFleet(t *testing.T, founders int) *dynamicFleet {
	t.Helper()
	return newDynamicFleetOf(t, founders, binaries)
}

// newDynamicFleetOf is newDynamicFleet with the programs of some version.
func newDynamicFleetOf(t *testing.T, founders int, version fleet.Binaries) *dynamicFleet {
	t.Helper()
	size := controlPlaneOnly(0)
	size.Machines = 0
	f, ctx := newFleet(t, size)
	d := &dynamicFleet{Fleet: f, t: t, ctx: ctx}
	var addrs []string
	for i := range founders {
		addrs = append(addrs, f.ReplicaAddress(i+1))
	}
	for i := range founders {
		f.NewJoiner(i+1, d.dataDirectory(i+1), addrs...)
	}
	for _, p := range f.Replicas {
		p.UseBinaries(version)
		must(t, p.Start())
	}
	return d
}

func (d *dynamicFleet) dataDirectory(n int) string {
	return filepath.Join(d.Dir, fmt.Sprintf("replica-%d", n))
}

// join starts a core more, on the nth machine, without any founders.
func (d *dynamicFleet) join(n int) *fleet.Program {
	d.t.Helper()
	p := d.NewJoiner(n, d.dataDirectory(n))
	must(d.t, p.Start())
	return p
}

// awaitMembers waits until all running cores are ready and tell one set of so many slots,
// and returns it.
func (d *dynamicFleet) awaitMembers(n int) (members []int) {
	d.t.Helper()
	must(d.t, fleet.Await(d.ctx, fmt.Sprintf("a set of %d", n), func(ctx context.Context) bool {
		members = nil
		for _, p := range d.Replicas {
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
			if members == nil {
				members = now
			}
			if status, err := p.Get(ctx, "/ready", nil); !slices.Equal(members, now) || !slices.Contains(now, st.Self.Slot) || err != nil || status != 200 {
				return false
			}
		}
		return true
	}))
	return members
}

// putAndVerify puts a new configuration at one core and reads it back from each.
func (d *dynamicFleet) putAndVerify(replica *fleet.Program) {
	d.t.Helper()
	d.puts++
	body := configuration(d.puts)
	must(d.t, fleet.Await(d.ctx, "a write", func(ctx context.Context) bool {
		r, err := d.Operate(ctx, replica, "PUT", "/v1/desired", body)
		return err == nil && r.Status == 200
	}))
	d.verifyConfiguration(body)
}

// verifyConfiguration reads what was taken last back from each core.
func (d *dynamicFleet) verifyConfiguration(body []byte) {
	d.t.Helper()
	for _, p := range d.Replicas {
		if !p.Running() {
			continue
		}
		must(d.t, fleet.Await(d.ctx, "the reading back at "+p.Name, func(ctx context.Context) bool {
			r, err := d.Operate(ctx, p, "GET", "/v1/desired", nil)
			return err == nil && r.Status == 200 && bytes.Equal(r.Body, body)
		}))
	}
}

// Three founders are born at once and take an order; a fourth and a fifth join; one
// dies and an empty one at another address comes in its place; one loses its disk and
// comes back at its address; one goes for good, then another. What was taken stays,
// and each time a new configuration is taken.
func TestMembershipChanges(t *testing.T) {
	t.Parallel()
	begin := time.Now()
	d := newDynamicFleet(t, 3)
	d.putAndVerify(d.Replicas[1])
	t.Logf("took an order %v after the start", time.Since(begin).Round(time.Millisecond))
	d.awaitMembers(3)
	for n := 4; n <= 5; n++ {
		begin = time.Now()
		p := d.join(n)
		d.awaitMembers(n)
		t.Logf("core %d had a seat %v after its start", n, time.Since(begin).Round(time.Millisecond))
		d.putAndVerify(p)
	}
	d.Kill(d.Replicas[0])
	begin = time.Now()
	p := d.join(6)
	if set := d.awaitMembers(5); slices.Contains(set, 1) {
		t.Errorf("the dead core's slot is still in %v", set)
	}
	t.Logf("core 6 had the dead one's place after %v", time.Since(begin).Round(time.Millisecond))
	d.putAndVerify(p)

	old := d.awaitMembers(5)
	wiped := d.Replicas[2]
	wiped.Kill()
	must(t, os.RemoveAll(d.dataDirectory(3)))
	wiped.RemoveArgs("--first", "--founders")
	begin = time.Now()
	must(t, d.Restart(wiped))
	if set := d.awaitMembers(5); slices.Equal(set, old) {
		t.Errorf("the lost disk's slot is still in %v", set)
	}
	t.Logf("the wiped core was back after %v", time.Since(begin).Round(time.Millisecond))
	d.putAndVerify(wiped)

	// Two go for good: an odd set may lack one, but not two.
	d.Kill(d.Replicas[3], d.Replicas[4])
	d.awaitMembers(3)
	d.putAndVerify(d.Replicas[1])
	// One comes back and finds its slot struck.
	must(t, d.Restart(d.Replicas[3]))
	d.awaitMembers(4)
	d.putAndVerify(d.Replicas[3])

	// All restart, whatever settings say now.
	for _, p := range d.Replicas {
		if p.Running() {
			p.Kill()
			p.RemoveArgs("--first", "--founders")
		}
	}
	must(t, d.Restart(d.Replicas[1], d.Replicas[2], d.Replicas[3], d.Replicas[5]))
	d.awaitMembers(4)
	d.verifyConfiguration(configuration(d.puts))
	d.putAndVerify(d.Replicas[5])
}

// An empty disk without --first is no birth: it waits for somebody to ask.
func TestNoBootstrapWithoutFirst(t *testing.T) {
	t.Parallel()
	d := newDynamicFleet(t, 3)
	d.putAndVerify(d.Replicas[0])
	for i, p := range d.Replicas {
		p.Kill()
		must(t, os.RemoveAll(d.dataDirectory(i+1)))
		p.RemoveArgs("--first")
	}
	must(t, d.Restart(d.Replicas...))
	// They hear of each other, and none makes itself out to be anything.
	must(t, fleet.Await(d.ctx, "all to seek", func(ctx context.Context) bool {
		for _, p := range d.Replicas {
			var st struct{ Phase string }
			if _, err := p.Get(ctx, "/v1/state", &st); err != nil || st.Phase != "seeking" {
				return false
			}
		}
		return true
	}))
	for _, p := range d.Replicas {
		if r, err := d.Operate(d.ctx, p, "PUT", "/v1/desired", configuration(9)); err != nil || r.Status != 503 {
			t.Errorf("%s took an order without a seat: %d %v", p.Name, r.Status, err)
		}
	}
}

// A minority of the disks is lost at once, right after an acknowledgement, and the
// power of all others too: what was acknowledged is there.
func TestMinorityOfDisksLost(t *testing.T) {
	t.Parallel()
	d := newDynamicFleet(t, 5)
	d.putAndVerify(d.Replicas[4])
	for round := range 2 {
		lost := []int{round, 4 - round}
		d.puts++
		body := configuration(d.puts)
		must(t, fleet.Await(d.ctx, "a write", func(ctx context.Context) bool {
			r, err := d.Operate(ctx, d.Replicas[lost[0]], "PUT", "/v1/desired", body)
			return err == nil && r.Status == 200
		}))
		d.Kill(d.Replicas...)
		for _, i := range lost {
			must(t, os.RemoveAll(d.dataDirectory(i+1)))
			d.Replicas[i].RemoveArgs("--first", "--founders")
		}
		must(t, d.Restart(d.Replicas...))
		d.awaitMembers(5)
		d.verifyConfiguration(body)
	}
	d.putAndVerify(d.Replicas[0])
}

// A planned replacement: the new core comes first, then the old one is stopped for
// good, and right after its end another loses its disk for good. The two that are left
// are a majority of the set without the one that was stopped: they serve, and hold what
// was taken.
func TestLossAfterPlannedReplacement(t *testing.T) {
	t.Parallel()
	d := newDynamicFleet(t, 3)
	d.putAndVerify(d.Replicas[1])
	d.join(4)
	d.awaitMembers(4)
	d.putAndVerify(d.Replicas[3])
	if code := d.Replicas[0].Stop(); code != 0 {
		t.Errorf("the stopped core ended with %d", code)
	}
	d.Kill(d.Replicas[1])
	must(t, os.RemoveAll(d.dataDirectory(2)))
	begin := time.Now()
	d.verifyConfiguration(configuration(d.puts))
	d.putAndVerify(d.Replicas[2])
	t.Logf("took an order %v after the second loss", time.Since(begin).Round(time.Millisecond))
	d.Replicas[1].RemoveArgs("--first", "--founders")
	must(t, d.Restart(d.Replicas[1]))
	d.awaitMembers(3)
	// The stopped one may come back after all: it is seated anew.
	d.Replicas[0].RemoveArgs("--first", "--founders")
	must(t, d.Restart(d.Replicas[0]))
	d.awaitMembers(4)
	d.putAndVerify(d.Replicas[0])
}
