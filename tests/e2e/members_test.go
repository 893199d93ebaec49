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

// dynamicFleet is a fleet of replicas with dynamic membership, without sidecars.
type dynamicFleet struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context
	// puts is the number of configurations that putAndVerify has put.
	puts int
}

// newDynamicFleet starts a fleet with the given number of founders.
func newDynamicFleet(t *testing.T, founders int) *dynamicFleet {
	t.Helper()
	return newDynamicFleetOf(t, founders, binaries)
}

// newDynamicFleetOf is like newDynamicFleet, with the programs of the given version.
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

// dataDirectory returns the data directory of the nth replica, counted from 1.
func (d *dynamicFleet) dataDirectory(n int) string {
	return filepath.Join(d.Dir, fmt.Sprintf("replica-%d", n))
}

// join starts another replica on the nth machine. It gets no list of founders.
func (d *dynamicFleet) join(n int) *fleet.Program {
	d.t.Helper()
	p := d.NewJoiner(n, d.dataDirectory(n))
	must(d.t, p.Start())
	return p
}

// awaitMembers waits until all running replicas are ready and agree on a set of n members that
// contains them. It returns the member IDs.
func (d *dynamicFleet) awaitMembers(n int) (members []int) {
	d.t.Helper()
	must(d.t, fleet.Await(d.ctx, fmt.Sprintf("a set of %d members", n), func(ctx context.Context) bool {
		members = nil
		for _, p := range d.Replicas {
			if !p.Running() {
				continue
			}
			st, err := readState(ctx, p)
			if err != nil || len(st.Members.Previous) > 0 || len(st.Members.Current) != n {
				return false
			}
			var current []int
			for _, member := range st.Members.Current {
				current = append(current, member.MemberID)
			}
			if members == nil {
				members = current
			}
			if status, err := p.Get(ctx, "/ready", nil); !slices.Equal(members, current) || !slices.Contains(current, st.Self.MemberID) || err != nil || status != 200 {
				return false
			}
		}
		return true
	}))
	return members
}

// putAndVerify puts a new configuration at one replica and reads it back from each running replica.
func (d *dynamicFleet) putAndVerify(replica *fleet.Program) {
	d.t.Helper()
	d.puts++
	body := configuration(d.puts)
	must(d.t, fleet.Await(d.ctx, "a write to be acknowledged", func(ctx context.Context) bool {
		r, err := d.Operate(ctx, replica, "PUT", configurationPath, body)
		return err == nil && r.Status == 200
	}))
	d.verifyConfiguration(body)
}

// verifyConfiguration waits until each running replica returns the given configuration.
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

// TestMembershipChanges checks that acknowledged configurations survive changes of the member set, and
// that a new one is accepted after each change. Three founders bootstrap at the same time. Then two
// replicas join, a dead member is replaced by an empty one at another address, a member loses its disk
// and comes back at its address, and two members are removed permanently.
func TestMembershipChanges(t *testing.T) {
	t.Parallel()
	begin := time.Now()
	d := newDynamicFleet(t, 3)
	d.putAndVerify(d.Replicas[1])
	t.Logf("the first command was acknowledged %v after the start", time.Since(begin).Round(time.Millisecond))
	d.awaitMembers(3)
	for n := 4; n <= 5; n++ {
		begin = time.Now()
		p := d.join(n)
		d.awaitMembers(n)
		t.Logf("replica %d became a member %v after its start", n, time.Since(begin).Round(time.Millisecond))
		d.putAndVerify(p)
	}
	d.Kill(d.Replicas[0])
	begin = time.Now()
	p := d.join(6)
	if members := d.awaitMembers(5); slices.Contains(members, 1) {
		t.Errorf("the dead member 1 is still in the set %v", members)
	}
	t.Logf("replica 6 replaced the dead member after %v", time.Since(begin).Round(time.Millisecond))
	d.putAndVerify(p)

	before := d.awaitMembers(5)
	diskless := d.Replicas[2]
	diskless.Kill()
	must(t, os.RemoveAll(d.dataDirectory(3)))
	diskless.RemoveArgs("--first", "--founders")
	begin = time.Now()
	must(t, d.Restart(diskless))
	if members := d.awaitMembers(5); slices.Equal(members, before) {
		t.Errorf("the member whose disk was lost is still in the set %v", members)
	}
	t.Logf("the replica that lost its disk became a member again after %v", time.Since(begin).Round(time.Millisecond))
	d.putAndVerify(diskless)

	// Two members are removed permanently. The replicas keep a set of odd size while one member is
	// absent, and reduce it once two are absent.
	d.Kill(d.Replicas[3], d.Replicas[4])
	d.awaitMembers(3)
	d.putAndVerify(d.Replicas[1])
	// One of them comes back, finds that it is no longer a member, and joins again.
	must(t, d.Restart(d.Replicas[3]))
	d.awaitMembers(4)
	d.putAndVerify(d.Replicas[3])

	// All replicas restart without the settings for the bootstrap. They must keep the member set on
	// their disks.
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

// TestNoBootstrapWithoutFirst checks that a replica with an empty disk and without --first does not
// found a cluster. It must wait until it may join one. Otherwise replicas that lost their disks would
// form a new cluster without the acknowledged state.
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
	// The replicas discover each other, and none makes itself a member.
	must(t, fleet.Await(d.ctx, "all replicas to ask to join", func(ctx context.Context) bool {
		for _, p := range d.Replicas {
			if st, err := readState(ctx, p); err != nil || st.Phase != "seeking" {
				return false
			}
		}
		return true
	}))
	for _, p := range d.Replicas {
		if r, err := d.Operate(d.ctx, p, "PUT", configurationPath, configuration(9)); err != nil || r.Status != 503 {
			t.Errorf("%s is not a member: a command got %d, error %v; want 503", p.Name, r.Status, err)
		}
	}
}

// TestMinorityOfDisksLost checks that an acknowledged configuration survives the loss of a minority of
// the disks. The disks are lost right after the acknowledgement, when all replicas lose power.
func TestMinorityOfDisksLost(t *testing.T) {
	t.Parallel()
	d := newDynamicFleet(t, 5)
	d.putAndVerify(d.Replicas[4])
	for round := range 2 {
		lost := []int{round, 4 - round}
		d.puts++
		body := configuration(d.puts)
		must(t, fleet.Await(d.ctx, "a write to be acknowledged", func(ctx context.Context) bool {
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

// TestLossAfterPlannedReplacement checks that the cluster tolerates a loss right after a planned
// replacement. The new replica joins, the old one is stopped permanently, and then another one loses
// its disk. The two that remain are a majority of the set without the stopped replica. They must
// serve, and must have the acknowledged configuration.
func TestLossAfterPlannedReplacement(t *testing.T) {
	t.Parallel()
	d := newDynamicFleet(t, 3)
	d.putAndVerify(d.Replicas[1])
	d.join(4)
	d.awaitMembers(4)
	d.putAndVerify(d.Replicas[3])
	if code := d.Replicas[0].Stop(); code != 0 {
		t.Errorf("the stopped replica exited with code %d, want 0", code)
	}
	d.Kill(d.Replicas[1])
	must(t, os.RemoveAll(d.dataDirectory(2)))
	begin := time.Now()
	d.verifyConfiguration(configuration(d.puts))
	d.putAndVerify(d.Replicas[2])
	t.Logf("a command was acknowledged %v after the loss", time.Since(begin).Round(time.Millisecond))
	d.Replicas[1].RemoveArgs("--first", "--founders")
	must(t, d.Restart(d.Replicas[1]))
	d.awaitMembers(3)
	// The stopped replica may come back later and join again.
	d.Replicas[0].RemoveArgs("--first", "--founders")
	must(t, d.Restart(d.Replicas[0]))
	d.awaitMembers(4)
	d.putAndVerify(d.Replicas[0])
}
