package e2e

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
)

// earlierFolder names the environment variable that says in which folder the programs of an
// earlier version are. Without it there is nothing to mix with, and TestMixedVersions does not run.
const earlierFolder = "CURLEWWALK_EARLIER_BUILD"

// earlierNames are the names that programs had in earlier versions.
var earlierNames = map[string]string{"controlplane": "core"}

const (
	// serveFor is how long a fleet serves between two changes.
	serveFor = 300 * time.Millisecond
	// changeRounds is how often changes of each kind are made before any process is replaced.
	changeRounds = 2
)

// An earlier version's programs and these serve together, and take changes: with the one as
// control plane and the other as sidecars, either way round, and while each process in
// turn is stopped and started as the other version on the same disk, there and back.
func TestMixedVersions(t *testing.T) {
	folder := os.Getenv(earlierFolder)
	if folder == "" {
		t.Skip("set " + earlierFolder + " to a folder with an earlier version's programs")
	}
	old := earlierBinaries(t, folder)
	for _, c := range []struct {
		name               string
		replicas, sidecars fleet.Binaries
		// next, if set, is the version that each process in turn becomes.
		next fleet.Binaries
	}{
		{name: "old control plane, new sidecars", replicas: old, sidecars: binaries},
		{name: "new control plane, old sidecars", replicas: binaries, sidecars: old},
		{name: "old to new in turn", replicas: old, sidecars: old, next: binaries},
		{name: "new to old in turn", replicas: binaries, sidecars: binaries, next: old},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, ctx := newFleet(t, smallFleet())
			for _, p := range f.Replicas {
				p.UseBinaries(c.replicas)
			}
			for _, p := range f.Sidecars {
				p.UseBinaries(c.sidecars)
			}
			must(t, f.Start(ctx))
			stop := loadWithKeys(ctx, f)
			for range changeRounds {
				takesChanges(t, ctx, f)
			}
			if c.next != "" {
				for i, p := range f.Programs() {
					becomes(t, ctx, p, c.next)
					putAndRead(t, ctx, f, i)
				}
				takesChanges(t, ctx, f)
			}
			stop()
			if v := checkLedger(t, f); v.Interrupted > 0 || v.LostEarly > 0 {
				t.Errorf("%d requests were interrupted and %d lost early", v.Interrupted, v.LostEarly)
			}
		})
	}
}

// earlierBinaries has the programs of an earlier version under the names that they have now.
func earlierBinaries(t *testing.T, folder string) fleet.Binaries {
	t.Helper()
	folder, err := filepath.Abs(folder)
	must(t, err)
	links := t.TempDir()
	for _, name := range []string{"controlplane", "sidecar"} {
		program := filepath.Join(folder, name)
		if _, err := os.Stat(program); err != nil && earlierNames[name] != "" {
			program = filepath.Join(folder, earlierNames[name])
		}
		must(t, os.Symlink(program, filepath.Join(links, name)))
	}
	return fleet.Binaries(links)
}

// loadWithKeys is startLoad with every other client sending keys.
func loadWithKeys(ctx context.Context, f *fleet.Fleet) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	clients := f.Clients()
	for i, c := range clients {
		c.Keyed = i%2 == 0
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.RunClients(ctx, clients...) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// becomes has a process end in order and start as another version.
func becomes(t *testing.T, ctx context.Context, p *fleet.Program, version fleet.Binaries) {
	t.Helper()
	if code := p.Stop(); code != 0 {
		t.Errorf("%s ended with %d: %s", p.Name, code, p.Stderr())
	}
	p.UseBinaries(version)
	must(t, p.Start())
	must(t, p.AwaitReady(ctx))
}

// putAndRead puts a configuration at one replica, waits until all sidecars have it in force, and
// reads it back from each replica.
func putAndRead(t *testing.T, ctx context.Context, f *fleet.Fleet, n int) {
	t.Helper()
	body := append(f.Configuration(), bytes.Repeat([]byte(" "), n)...) // told from others by its length
	revision, err := f.PutConfiguration(ctx, n%len(f.Replicas), body)
	must(t, err)
	must(t, f.AwaitServing(ctx, revision, len(f.Size.Backends)))
	for _, replica := range f.Replicas {
		r, err := f.Operate(ctx, replica, "GET", "/v1/desired", nil)
		must(t, err)
		if r.Status != 200 || r.Revision != revision || !bytes.Equal(r.Body, body) {
			t.Errorf("%s: status %d, revision %d, %d bytes; revision %d with %d bytes was put", replica.Name, r.Status, r.Revision, len(r.Body), revision, len(body))
		}
	}
}

// lastOrders is the machine of smallFleet with the second backend of the orders: its zone may be
// evacuated.
const lastOrders = 3

// takesChanges puts configurations at each replica, and evacuates a zone and restores it.
func takesChanges(t *testing.T, ctx context.Context, f *fleet.Fleet) {
	t.Helper()
	for i := range f.Replicas {
		putAndRead(t, ctx, f, i)
		awaitElapsed(ctx, t, time.Now(), serveFor)
	}
	zone := f.Zone(lastOrders)
	evacuated, err := f.EvacuateZone(ctx, f.Replicas[0], zone)
	must(t, err)
	must(t, f.AwaitServing(ctx, evacuated.Revision, len(f.Size.Backends)))
	awaitElapsed(ctx, t, time.Now(), serveFor)
	restored, err := f.RestoreZone(ctx, f.Replicas[1], zone)
	must(t, err)
	must(t, f.AwaitServing(ctx, restored.Revision, len(f.Size.Backends)))
}

// Replicas of an earlier version and of this one change the members together: each founder, which
// is of the one version, is lost, and a newcomer of the other takes its place, until no founder
// is left. What was taken stays, and each time a new configuration is taken.
func TestMixedMembership(t *testing.T) {
	folder := os.Getenv(earlierFolder)
	if folder == "" {
		t.Skip("set " + earlierFolder + " to a folder with an earlier version's programs")
	}
	old := earlierBinaries(t, folder)
	for _, c := range []struct {
		name               string
		founders, newcomer fleet.Binaries
	}{
		{"old founders, new newcomers", old, binaries},
		{"new founders, old newcomers", binaries, old},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDynamicFleetOf(t, 3, c.founders)
			d.putAndVerify(d.Replicas[1])
			d.awaitMembers(3)
			for n := range 3 {
				d.Kill(d.Replicas[n])
				p := d.joinOf(4+n, c.newcomer)
				if set := d.awaitMembers(3); slices.Contains(set, n+1) {
					t.Errorf("the lost member %d is still in %v", n+1, set)
				}
				d.putAndVerify(p)
			}
		})
	}
}

// joinOf is join with the programs of some version, and with the replicas that run as seeds: the
// founders, which all others have, are lost one after another.
func (d *dynamicFleet) joinOf(n int, version fleet.Binaries) *fleet.Program {
	d.t.Helper()
	var seeds []string
	for i, running := range d.Replicas {
		if running.Running() {
			seeds = append(seeds, "--seed="+d.ReplicaAddress(i+1))
		}
	}
	p := d.NewJoiner(n, d.dataDirectory(n))
	p.RemoveArgs("--seed")
	p.AddArgs(seeds...)
	p.UseBinaries(version)
	must(d.t, p.Start())
	return p
}
