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

// dynamicFleet is a fleet of replicas with dynamic membership.
type dynamicFleet struct {
	*fleet.Fleet
	t    *testing.T
	ctx  context.Context
	puts int
}

// newDynamicFleet starts so many founders.
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

// dataDirectory is that of the nth replica.
func (d *dynamicFleet) dataDirectory(n int) string {
	return filepath.Join(d.Dir, fmt.Sprintf("replica-%d", n))
}

// join starts another replica on the nth machine, without founders.
func (d *dynamicFleet) join(n int) *fleet.Program {
	d.t.Helper()
	p := d.NewJoiner(n, d.dataDirectory(n))
	must(d.t, p.Start())
	return p
}

// awaitMembers waits until all running replicas are ready and agree on a set of n members, and returns it.
func (d *dynamicFleet) awaitMembers(n int) (members []int) {
	d.t.Helper()
	must(d.t, fleet.Await(d.ctx, fmt.Sprintf("a set of %d", n), func(ctx context.Context) bool {
		members = nil
		for _, p := range d.Replicas {
			if !p.Running() {
				continue
			}
			st, err := readState(ctx, p)
			if err != nil || len(st.Members.Previous) > 0 || len(st.Members.Current) != n {
				return false
			}
			var now []int
			for _, member := range st.Members.Current {
				now = append(now, member.MemberID)
			}
			if members == nil {
				members = now
			}
			if status, err := p.Get(ctx, "/ready", nil); !slices.Equal(members, now) || !slices.Contains(now, st.Self.MemberID) || err != nil || status != 200 {
				return false
			}
		}
		return true
	}))
	return members
}

// putAndVerify puts a new configuration at one replica and reads it back from each.
func (d *dynamicFleet) putAndVerify(replica *fleet.Program) {
	d.t.Helper()
	d.puts++
	body := configuration(d.puts)
	must(d.t, fleet.Await(d.ctx, "a write", func(ctx context.Context) bool {
		r, err := d.Operate(ctx, replica, "PUT", configurationPath, body)
		return err == nil && r.Status == 200
	}))
	d.verifyConfiguration(body)
}

// verifyConfiguration reads a configuration back from each running replica.
func (d *dynamicFleet) verifyConfiguration(body []byte) {
	d.t.Helper()
	for _, p := range d.Replicas {
		if !p.Running() {
			continue
		}
		must(d.t, fleet.Await(d.ctx, p.Name+" to return the configuration", func(ctx context.Context) bool {
			r, err := d.Operate(ctx, p, "GET", configurationPath, nil)
			return err == nil && r.Status == 200 && bytes.Equal(r.Body, body)
		}))
	}
}

// Three founders bootstrap at once and accept a command; a fourth and a fifth join; one dies and an empty
// one at another address replaces it; one loses its disk and comes back at its address; one is removed for
// good, then another. What was acknowledged stays, and each time a new configuration is accepted.
func TestMembershipChanges(t *testing.T) {
	t.Parallel()
	begin := time.Now()
	d := newDynamicFleet(t, 3)
	d.putAndVerify(d.Replicas[1])
	t.Logf("acknowledged a command %v after the start", time.Since(begin).Round(time.Millisecond))
	d.awaitMembers(3)
	for n := 4; n <= 5; n++ {
		begin = time.Now()
		p := d.join(n)
		d.awaitMembers(n)
		t.Logf("replica %d was a member %v after its start", n, time.Since(begin).Round(time.Millisecond))
		d.putAndVerify(p)
	}
	d.Kill(d.Replicas[0])
	begin = time.Now()
	p := d.join(6)
	if set := d.awaitMembers(5); slices.Contains(set, 1) {
		t.Errorf("the dead member is still in %v", set)
	}
	t.Logf("replica 6 had replaced the dead one after %v", time.Since(begin).Round(time.Millisecond))
	d.putAndVerify(p)

	old := d.awaitMembers(5)
	diskless := d.Replicas[2]
	diskless.Kill()
	must(t, os.RemoveAll(d.dataDirectory(3)))
	diskless.RemoveArgs("--first", "--founders")
	begin = time.Now()
	must(t, d.Restart(diskless))
	if set := d.awaitMembers(5); slices.Equal(set, old) {
		t.Errorf("the member of the lost disk is still in %v", set)
	}
	t.Logf("the replica without its disk was a member again after %v", time.Since(begin).Round(time.Millisecond))
	d.putAndVerify(diskless)

	// Two are removed for good: an odd set may lack one member, but not two.
	d.Kill(d.Replicas[3], d.Replicas[4])
	d.awaitMembers(3)
	d.putAndVerify(d.Replicas[1])
	// One comes back and finds that it is no member any more.
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

// An empty disk without --first does not found a cluster: the replica waits until it may join.
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
	// They learn of each other, and none makes itself a member.
	must(t, fleet.Await(d.ctx, "all to ask to join", func(ctx context.Context) bool {
		for _, p := range d.Replicas {
			if st, err := readState(ctx, p); err != nil || st.Phase != "seeking" {
				return false
			}
		}
		return true
	}))
	for _, p := range d.Replicas {
		if r, err := d.Operate(d.ctx, p, "PUT", configurationPath, configuration(9)); err != nil || r.Status != 503 {
			t.Errorf("%s accepted a command without being a member: %d %v", p.Name, r.Status, err)
		}
	}
}

// A minority of the disks is lost at once, right after an acknowledgement, together with the power of all
// others: what was acknowledged is there.
func TestMinorityOfDisksLost(t *testing.T) {
	t.Parallel()
	d := newDynamicFleet(t, 5)
	d.putAndVerify(d.Replicas[4])
	for round := range 2 {
		lost := []int{round, 4 - round}
		d.puts++
		body := configuration(d.puts)
		must(t, fleet.Await(d.ctx, "a write", func(ctx context.Context) bool {
			r, err := d.Operate(ctx, d.Replicas[lost[0]], "PUT", configurationPath, body)
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

// A planned replacement: the new replica joins first, then the old one is stopped for good, and right after
// that another one loses its disk for good. The two that are left are a majority of the set without the
// stopped one: they serve, and have what was acknowledged.
func TestLossAfterPlannedReplacement(t *testing.T) {
	t.Parallel()
	d := newDynamicFleet(t, 3)
	d.putAndVerify(d.Replicas[1])
	d.join(4)
	d.awaitMembers(4)
	d.putAndVerify(d.Replicas[3])
	if code := d.Replicas[0].Stop(); code != 0 {
		t.Errorf("the stopped replica ended with %d", code)
	}
	d.Kill(d.Replicas[1])
	must(t, os.RemoveAll(d.dataDirectory(2)))
	begin := time.Now()
	d.verifyConfiguration(configuration(d.puts))
	d.putAndVerify(d.Replicas[2])
	t.Logf("acknowledged a command %v after the second loss", time.Since(begin).Round(time.Millisecond))
	d.Replicas[1].RemoveArgs("--first", "--founders")
	must(t, d.Restart(d.Replicas[1]))
	d.awaitMembers(3)
	// The stopped one may come back after all: it joins anew.
	d.Replicas[0].RemoveArgs("--first", "--founders")
	must(t, d.Restart(d.Replicas[0]))
	d.awaitMembers(4)
	d.putAndVerify(d.Replicas[0])
}
