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

// earlierFolderVariable is the environment variable that holds the folder with the programs of an
// earlier version. Without it, the tests of mixed versions are skipped.
const earlierFolderVariable = "CURLEWWALK_EARLIER_BUILD"

// earlierNames maps the names of programs to their names in earlier versions.
var earlierNames = map[string]string{"controlplane": "core"}

const (
	// serveFor is the time for which a fleet serves between two changes.
	serveFor = 300 * time.Millisecond
	// changeRounds is the number of rounds of changes before any process is replaced.
	changeRounds = 2
)

// TestMixedVersions checks that programs of an earlier and of the present version work together and
// accept changes. Either version runs as the control plane, with the other one as the sidecars. In
// further runs each process in turn is stopped and restarted as the other version on the same disk, in
// both directions.
func TestMixedVersions(t *testing.T) {
	folder := os.Getenv(earlierFolderVariable)
	if folder == "" {
		t.Skip("set " + earlierFolderVariable + " to a folder with an earlier version's programs")
	}
	old := earlierBinaries(t, folder)
	for _, c := range []struct {
		name               string
		replicas, sidecars fleet.Binaries
		// replacement, if set, is the version that replaces each process in turn.
		replacement fleet.Binaries
	}{
		{name: "old control plane, new sidecars", replicas: old, sidecars: binaries},
		{name: "new control plane, old sidecars", replicas: binaries, sidecars: old},
		{name: "old to new in turn", replicas: old, sidecars: old, replacement: binaries},
		{name: "new to old in turn", replicas: binaries, sidecars: binaries, replacement: old},
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
				applyChanges(t, ctx, f)
			}
			if c.replacement != "" {
				for i, p := range f.Programs() {
					restartAs(t, ctx, p, c.replacement)
					putAndReadBack(t, ctx, f, i)
				}
				applyChanges(t, ctx, f)
			}
			stop()
			if v := checkLedger(t, f); v.Interrupted > 0 || v.UnknownBeforeDeadline > 0 {
				t.Errorf("%d requests were interrupted, and %d had an unknown outcome before the deadline; want 0", v.Interrupted, v.UnknownBeforeDeadline)
			}
		})
	}
}

// earlierBinaries returns a folder with links to the programs of an earlier version under their
// present names.
func earlierBinaries(t *testing.T, folder string) fleet.Binaries {
	t.Helper()
	folder, err := filepath.Abs(folder)
	must(t, err)
	linkDirectory := t.TempDir()
	for _, name := range []string{"controlplane", "sidecar"} {
		program := filepath.Join(folder, name)
		if _, err := os.Stat(program); err != nil && earlierNames[name] != "" {
			program = filepath.Join(folder, earlierNames[name])
		}
		must(t, os.Symlink(program, filepath.Join(linkDirectory, name)))
	}
	return fleet.Binaries(linkDirectory)
}

// loadWithKeys is like startLoad, but every second client sends idempotency keys.
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

// restartAs stops a process with SIGTERM and starts it as another version.
func restartAs(t *testing.T, ctx context.Context, p *fleet.Program, version fleet.Binaries) {
	t.Helper()
	if code := p.Stop(); code != 0 {
		t.Errorf("%s exited with code %d, want 0: %s", p.Name, code, p.Stderr())
	}
	p.UseBinaries(version)
	must(t, p.Start())
	must(t, p.AwaitReady(ctx))
}

// putAndReadBack puts a configuration at one replica, waits until all sidecars have it in force, and
// reads it back from each replica.
func putAndReadBack(t *testing.T, ctx context.Context, f *fleet.Fleet, n int) {
	t.Helper()
	body := append(f.Configuration(), bytes.Repeat([]byte(" "), n)...) // the length identifies the configuration
	revision, err := f.PutConfiguration(ctx, n%len(f.Replicas), body)
	must(t, err)
	must(t, f.AwaitServing(ctx, revision, len(f.Size.Backends)))
	for _, replica := range f.Replicas {
		r, err := f.Operate(ctx, replica, "GET", "/v1/desired", nil)
		must(t, err)
		if r.Status != 200 || r.Revision != revision || !bytes.Equal(r.Body, body) {
			t.Errorf("%s: got status %d, revision %d, %d bytes; want 200, revision %d, %d bytes", replica.Name, r.Status, r.Revision, len(r.Body), revision, len(body))
		}
	}
}

// secondOrdersMachine is the machine of smallFleet with the second backend of the orders service. Its
// zone may be evacuated, because another backend remains.
const secondOrdersMachine = 3

// applyChanges puts a configuration at each replica, and evacuates and restores a zone.
func applyChanges(t *testing.T, ctx context.Context, f *fleet.Fleet) {
	t.Helper()
	for i := range f.Replicas {
		putAndReadBack(t, ctx, f, i)
		awaitElapsed(ctx, t, time.Now(), serveFor)
	}
	zone := f.Zone(secondOrdersMachine)
	evacuated, err := f.EvacuateZone(ctx, f.Replicas[0], zone)
	must(t, err)
	must(t, f.AwaitServing(ctx, evacuated.Revision, len(f.Size.Backends)))
	awaitElapsed(ctx, t, time.Now(), serveFor)
	restored, err := f.RestoreZone(ctx, f.Replicas[1], zone)
	must(t, err)
	must(t, f.AwaitServing(ctx, restored.Revision, len(f.Size.Backends)))
}

// TestMixedMembership checks that replicas of an earlier and of the present version can change the
// member set together. The founders run one version. Each founder is killed and replaced by a new
// replica of the other version, until no founder is left. Acknowledged configurations must survive,
// and each time a new configuration must be accepted.
func TestMixedMembership(t *testing.T) {
	folder := os.Getenv(earlierFolderVariable)
	if folder == "" {
		t.Skip("set " + earlierFolderVariable + " to a folder with an earlier version's programs")
	}
	old := earlierBinaries(t, folder)
	for _, c := range []struct {
		name             string
		founders, joiner fleet.Binaries
	}{
		{"old founders, new joiners", old, binaries},
		{"new founders, old joiners", binaries, old},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDynamicFleetOf(t, 3, c.founders)
			d.putAndVerify(d.Replicas[1])
			d.awaitMembers(3)
			for n := range 3 {
				d.Kill(d.Replicas[n])
				p := d.joinOf(4+n, c.joiner)
				if members := d.awaitMembers(3); slices.Contains(members, n+1) {
					t.Errorf("the lost member %d is still in the set %v", n+1, members)
				}
				d.putAndVerify(p)
			}
		})
	}
}

// joinOf is like join, with the programs of the given version and with the running replicas as seeds.
// The usual seeds are the founders, which are lost one after another in TestMixedMembership.
func (d *dynamicFleet) joinOf(n int, version fleet.Binaries) *fleet.Program {
	d.t.Helper()
	var seeds []string
	for i, replica := range d.Replicas {
		if replica.Running() {
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
