package e2e

import (
	"bytes"
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

// The coordinator is partitioned from the others together with a machine: the others go on, the minority
// acknowledges nothing, and after the partition the newest state is in force everywhere.
func TestPartitionedControlPlane(t *testing.T) {
	f, ctx := newFleet(t, smallFleet())
	must(t, f.InterposeProxies())
	must(t, f.Start(ctx))
	f.Network.Partition(f.Replicas[0].IP, f.Sidecars[0].IP)
	var revision uint64
	must(t, fleet.Await(ctx, "a write at the majority", func(ctx context.Context) bool {
		r, err := f.Operate(ctx, f.Replicas[1], "PUT", configurationPath, f.Configuration())
		revision = r.Revision
		return err == nil && r.Status == 200
	}))
	r, err := f.Operate(ctx, f.Replicas[0], "PUT", configurationPath, configuration(9))
	must(t, err)
	if r.Status != 503 {
		t.Errorf("the minority accepted a write: %d %s", r.Status, r.Body)
	}
	if r, err = f.Operate(ctx, f.Replicas[0], "GET", configurationPath, nil); err != nil || r.Status != 503 {
		t.Errorf("the minority was read: %d %v", r.Status, err)
	}
	for _, p := range f.Sidecars[1:] {
		must(t, fleet.Await(ctx, "the state at the majority's sidecars", func(ctx context.Context) bool {
			s, err := f.Revision(ctx, p)
			return err == nil && s >= revision
		}))
	}
	f.Network.Heal()
	healed := time.Now()
	must(t, f.AwaitServing(ctx, revision, len(f.Size.Backends)))
	t.Logf("in force everywhere %v after the partition", time.Since(healed).Round(time.Millisecond))
	r, err = f.Operate(ctx, f.Replicas[0], "GET", configurationPath, nil)
	must(t, err)
	if r.Revision < revision || r.Revision == revision && !bytes.Equal(r.Body, f.Configuration()) {
		t.Errorf("read back revision %d after %d was acknowledged", r.Revision, revision)
	}
}

// Every process of the system dies at once and comes back: backends and nodes are announced again, the
// state comes from the disks, and service returns.
func TestMassRestart(t *testing.T) {
	f, ctx := startFleet(t, smallFleet())
	stop := startLoad(ctx, f)
	must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, 10))
	var killed sync.WaitGroup
	for _, p := range f.Programs() {
		killed.Go(p.Kill)
	}
	killed.Wait()
	begin := time.Now()
	phase := func(name string) { t.Logf("%6v %s", time.Since(begin).Round(time.Millisecond), name) }
	for _, p := range f.Programs() {
		must(t, p.Start())
	}
	phase("all processes listen")
	for _, p := range f.Replicas {
		must(t, p.AwaitReady(ctx))
	}
	phase("the replicas are members and know all nodes")
	must(t, f.AwaitServing(ctx, 1, len(f.Size.Backends)))
	phase("every sidecar has the state, the nodes and the backends")
	for i := range f.Sidecars {
		must(t, awaitServed(ctx, f, i))
	}
	took := time.Since(begin)
	phase("every kind of request is served from every machine")
	for _, p := range f.Sidecars {
		must(t, p.AwaitReady(ctx))
	}
	phase("every sidecar is ready: keys recovered, their replicas had time to answer")
	before := f.Backends[0].Runs.Load()
	must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, before+20))
	stop()
	if took > 15*time.Second {
		t.Errorf("service returned only after %v", took)
	}
	checkLedger(t, f)
}

// The zone of a machine that nobody reaches is evacuated: its sidecar, which can't know of it, admits
// nothing once 5 s have passed; nor does one that is frozen meanwhile and woken with requests queued up.
// Once the zone is restored and the machine reached again, it serves.
func TestEvacuationOfUnreachableZone(t *testing.T) {
	for name, hide := range map[string]func(f *fleet.Fleet) (restore func()){
		"partitioned": func(f *fleet.Fleet) func() {
			f.Network.Partition(f.Sidecars[3].IP)
			return f.Network.Heal
		},
		// The replica on its side answers, but can't confirm its state.
		"partitioned with a replica": func(f *fleet.Fleet) func() {
			f.Network.Partition(f.Sidecars[3].IP, f.Replicas[2].IP)
			return f.Network.Heal
		},
		"frozen": func(f *fleet.Fleet) func() {
			f.Sidecars[3].Signal(syscall.SIGSTOP)
			return func() { f.Sidecars[3].Signal(syscall.SIGCONT) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, ctx := newFleet(t, smallFleet())
			must(t, f.InterposeProxies())
			must(t, f.Start(ctx))
			stop := startLoad(ctx, f)
			must(t, awaitRuns(ctx, f.Backends[3].Runs.Load, 5))
			restore := hide(f)
			evacuated := time.Now()
			r, err := f.EvacuateZone(ctx, f.Replicas[0], "west")
			must(t, err)
			awaitElapsed(ctx, t, evacuated, 7*time.Second)
			restore()
			must(t, fleet.Await(ctx, "the evacuation to be in force", func(ctx context.Context) bool {
				s, err := f.Revision(ctx, f.Sidecars[3])
				return err == nil && s >= r.Revision
			}))
			_, err = f.RestoreZone(ctx, f.Replicas[0], "west")
			must(t, err)
			must(t, awaitRuns(ctx, f.Backends[3].Runs.Load, f.Backends[3].Runs.Load()+5))
			stop()
			checkLedger(t, f)
		})
	}
}

// With every replica dead, which each sidecar can tell from a partition, traffic goes on for longer than a
// lease lasts.
func TestAllReplicasDead(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	for _, p := range f.Replicas {
		p.Kill()
	}
	dead := time.Now()
	c := f.NewClient(0, 1)
	for time.Since(dead) < 6*time.Second {
		if a := c.SendOne(ctx, c.PickPlan()); a.Status != 200 || a.Outcome != "" {
			t.Fatalf("%v after the replicas had died: %+v", time.Since(dead), a)
		}
	}
	checkLedger(t, f)
}

// An evacuation is acknowledged and all replicas lose power at once, while a machine of that zone is
// partitioned from them. Reached again by sidecars that know of it, and refused by the replicas' machines,
// its sidecar gets the evacuation before it admits anything.
func TestEvacuationThenReplicasDie(t *testing.T) {
	t.Parallel()
	f, ctx := newFleet(t, smallFleet())
	must(t, f.InterposeProxies())
	must(t, f.Start(ctx))
	stop := startLoad(ctx, f)
	must(t, awaitRuns(ctx, f.Backends[3].Runs.Load, 5))
	f.Network.PartitionBetween([]string{f.Sidecars[3].IP}, f.ReplicaIPs())
	evacuated := time.Now()
	r, err := f.EvacuateZone(ctx, f.Replicas[1], "west")
	must(t, err)
	f.PowerOff(f.Replicas...)
	if !bytes.Contains(r.Body, []byte(`"in_force": false`)) || !bytes.Contains(r.Body, []byte(f.Sidecars[3].IP)) {
		t.Errorf("the answer does not list who is behind: %s", r.Body)
	}
	f.Network.Heal()
	awaitElapsed(ctx, t, evacuated, 8*time.Second)
	must(t, fleet.Await(ctx, "the evacuation to be in force without replicas", func(ctx context.Context) bool {
		s, err := f.Revision(ctx, f.Sidecars[3])
		return err == nil && s >= r.Revision
	}))
	// It serves its own clients from the other zones.
	must(t, awaitServed(ctx, f, 3))
	stop()
	checkLedger(t, f)
}

// A sidecar that starts while all replicas are dead gets the configuration, the nodes and a lease from the
// other sidecars, and they get its backends.
func TestStartWithoutControlPlane(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	f.Kill(f.Replicas...)
	f.Kill(f.Sidecars[1], f.Sidecars[3])
	must(t, f.Restart(f.Sidecars[3]))
	must(t, f.Sidecars[3].AwaitReady(ctx))
	must(t, awaitServed(ctx, f, 3))
	must(t, f.Restart(f.Sidecars[1]))
	must(t, awaitServed(ctx, f, 1))
	must(t, f.AwaitServing(ctx, f.FirstRevision, len(f.Size.Backends)))
	before := f.Backends[1].Runs.Load()
	c := f.NewClient(2, 1)
	must(t, fleet.Await(ctx, "the only backend of stock, beside the restarted sidecar, to be used", func(ctx context.Context) bool {
		c.SendOne(ctx, f.Size.Plans[0])
		return f.Backends[1].Runs.Load() > before
	}))
	checkLedger(t, f)
}

// A sidecar that can get no configuration is not ready, and answers at once that nothing was run and when
// to retry.
func TestStartAlone(t *testing.T) {
	t.Parallel()
	f, ctx := newFleet(t, smallFleet())
	must(t, f.Sidecars[1].Start())
	a := f.NewClient(1, 1).SendOne(ctx, f.Size.Plans[0])
	if a.Status != 503 || a.Outcome != ledger.OutcomeNotRun || a.Mismatch != "" {
		t.Errorf("%+v", a)
	}
	if status, err := f.Sidecars[1].Get(ctx, "/ready", nil); err != nil || status != 503 {
		t.Errorf("ready: %d %v", status, err)
	}
}
