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

// TestPartitionedControlPlane checks the control plane while the coordinator and one machine are
// partitioned from the others. The majority must accept writes, and the minority must refuse writes
// and reads. After the partition the newest state must be in force everywhere.
func TestPartitionedControlPlane(t *testing.T) {
	f, ctx := newFleet(t, smallFleet())
	must(t, f.InterposeProxies())
	must(t, f.Start(ctx))
	f.Network.Partition(f.Replicas[0].IP, f.Sidecars[0].IP)
	var revision uint64
	must(t, fleet.Await(ctx, "a write to be acknowledged by the majority", func(ctx context.Context) bool {
		r, err := f.Operate(ctx, f.Replicas[1], "PUT", configurationPath, f.Configuration())
		revision = r.Revision
		return err == nil && r.Status == 200
	}))
	r, err := f.Operate(ctx, f.Replicas[0], "PUT", configurationPath, configuration(9))
	must(t, err)
	if r.Status != 503 {
		t.Errorf("write at the minority: got %d %s, want 503", r.Status, r.Body)
	}
	if r, err = f.Operate(ctx, f.Replicas[0], "GET", configurationPath, nil); err != nil || r.Status != 503 {
		t.Errorf("read at the minority: got %d, error %v; want 503", r.Status, err)
	}
	for _, p := range f.Sidecars[1:] {
		must(t, fleet.Await(ctx, "the sidecars of the majority to have the new state", func(ctx context.Context) bool {
			got, err := f.Revision(ctx, p)
			return err == nil && got >= revision
		}))
	}
	f.Network.Heal()
	healed := time.Now()
	must(t, f.AwaitServing(ctx, revision, len(f.Size.Backends)))
	t.Logf("the newest state was in force everywhere %v after the partition", time.Since(healed).Round(time.Millisecond))
	r, err = f.Operate(ctx, f.Replicas[0], "GET", configurationPath, nil)
	must(t, err)
	if r.Revision < revision || r.Revision == revision && !bytes.Equal(r.Body, f.Configuration()) {
		t.Errorf("got revision %d, want at least the acknowledged revision %d with its configuration", r.Revision, revision)
	}
}

// TestMassRestart checks that the system recovers within 15 s when every process is killed and
// restarted at the same time. Backends and nodes must be announced again, and the state must be read
// from the disks.
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
	logPhase := func(name string) { t.Logf("%6v %s", time.Since(begin).Round(time.Millisecond), name) }
	for _, p := range f.Programs() {
		must(t, p.Start())
	}
	logPhase("all processes listen")
	for _, p := range f.Replicas {
		must(t, p.AwaitReady(ctx))
	}
	logPhase("the replicas are members and know all nodes")
	must(t, f.AwaitServing(ctx, 1, len(f.Size.Backends)))
	logPhase("every sidecar has the state, the nodes and the backends")
	for i := range f.Sidecars {
		must(t, awaitServed(ctx, f, i))
	}
	took := time.Since(begin)
	logPhase("every kind of request is served from every machine")
	for _, p := range f.Sidecars {
		must(t, p.AwaitReady(ctx))
	}
	logPhase("every sidecar is ready: keys are recovered, and their replicas had time to answer")
	before := f.Backends[0].Runs.Load()
	must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, before+20))
	stop()
	if took > 15*time.Second {
		t.Errorf("service recovered after %v, want at most 15s", took)
	}
	checkLedger(t, f)
}

// TestEvacuationOfUnreachableZone checks that an evacuation also takes effect at a machine that cannot
// learn of it. The machine is partitioned, or its sidecar is frozen and later resumes with requests
// queued. The sidecar must admit nothing once 5 s have passed since the evacuation. It must serve
// again when the zone is restored and the machine is reachable.
func TestEvacuationOfUnreachableZone(t *testing.T) {
	for name, makeUnreachable := range map[string]func(f *fleet.Fleet) (restore func()){
		"partitioned": func(f *fleet.Fleet) func() {
			f.Network.Partition(f.Sidecars[3].IP)
			return f.Network.Heal
		},
		// The replica on the sidecar's side of the partition answers, but cannot confirm its state.
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
			restore := makeUnreachable(f)
			evacuated := time.Now()
			r, err := f.EvacuateZone(ctx, f.Replicas[0], "west")
			must(t, err)
			awaitElapsed(ctx, t, evacuated, 7*time.Second)
			restore()
			must(t, fleet.Await(ctx, "the evacuation to be in force", func(ctx context.Context) bool {
				revision, err := f.Revision(ctx, f.Sidecars[3])
				return err == nil && revision >= r.Revision
			}))
			_, err = f.RestoreZone(ctx, f.Replicas[0], "west")
			must(t, err)
			must(t, awaitRuns(ctx, f.Backends[3].Runs.Load, f.Backends[3].Runs.Load()+5))
			stop()
			checkLedger(t, f)
		})
	}
}

// TestAllReplicasDead checks that sidecars keep serving for longer than a lease lasts when all
// replicas are dead. A sidecar can distinguish dead replicas from a partition.
func TestAllReplicasDead(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	for _, p := range f.Replicas {
		p.Kill()
	}
	killedAt := time.Now()
	c := f.NewClient(0, 1)
	for time.Since(killedAt) < 6*time.Second {
		if a := c.SendOne(ctx, c.PickPlan()); a.Status != 200 || a.Outcome != "" {
			t.Fatalf("%v after all replicas were killed: got %+v, want status 200", time.Since(killedAt), a)
		}
	}
	checkLedger(t, f)
}

// TestEvacuationThenReplicasDie checks that an acknowledged evacuation reaches a partitioned machine
// without the replicas. The replicas lose power right after the acknowledgement. When the partition
// ends, other sidecars know of the evacuation, and the replicas' machines refuse connections. The
// sidecar in the evacuated zone must get the evacuation from the other sidecars before it admits a
// request.
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
		t.Errorf("the answer does not say that the evacuation is not in force at the partitioned sidecar: %s", r.Body)
	}
	f.Network.Heal()
	awaitElapsed(ctx, t, evacuated, 8*time.Second)
	must(t, fleet.Await(ctx, "the evacuation to be in force without replicas", func(ctx context.Context) bool {
		revision, err := f.Revision(ctx, f.Sidecars[3])
		return err == nil && revision >= r.Revision
	}))
	// The sidecar serves the clients on its machine with backends of the other zones.
	must(t, awaitServed(ctx, f, 3))
	stop()
	checkLedger(t, f)
}

// TestStartWithoutControlPlane checks that a sidecar can start while all replicas are dead. The
// sidecar must get the configuration, the nodes and a lease from the other sidecars, and these must
// learn of its backends.
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
	must(t, fleet.Await(ctx, "the only backend of stock, on the restarted sidecar's machine, to run a request", func(ctx context.Context) bool {
		c.SendOne(ctx, f.Size.Plans[0])
		return f.Backends[1].Runs.Load() > before
	}))
	checkLedger(t, f)
}

// TestStartAlone checks a sidecar that cannot get a configuration. It must report that it is not
// ready. It must refuse requests at once, with the outcome not-run and a Retry-After header.
func TestStartAlone(t *testing.T) {
	t.Parallel()
	f, ctx := newFleet(t, smallFleet())
	must(t, f.Sidecars[1].Start())
	a := f.NewClient(1, 1).SendOne(ctx, f.Size.Plans[0])
	if a.Status != 503 || a.Outcome != ledger.OutcomeNotRun || a.Mismatch != "" {
		t.Errorf("got %+v, want 503 not-run", a)
	}
	if status, err := f.Sidecars[1].Get(ctx, "/ready", nil); err != nil || status != 503 {
		t.Errorf("GET /ready: got %d, error %v; want 503", status, err)
	}
}
