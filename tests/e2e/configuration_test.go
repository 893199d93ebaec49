package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/tests/fleet"
)

// controlPlaneOnly returns the size of a fleet of n replicas, with one machine and no backends.
func controlPlaneOnly(n int) fleet.Size {
	return fleet.Size{Name: "control-plane", Replicas: n, Machines: 1, Zones: []string{"north", "east", "south"}, Plans: fleet.Association().Plans}
}

// configuration returns a valid configuration. Configurations of different n differ in the name of the
// service.
func configuration(n int) []byte {
	return fmt.Appendf(nil, "{ \"ways\": [{\"name\":\"w\",\"prefix\":\"/\",\"service\":\"s%d\",\"contract\":\"c\"}],\n \"contracts\": [{\"name\":\"c\",\"aim\":\"1s\",\"expiry\":\"2s\",\"rank\":1}]} \n", n)
}

// TestConfigurationSurvivesKills checks, with 3 and with 5 replicas, that an acknowledged
// configuration survives the kill of any minority and of all replicas. Without a majority, writes and
// reads must be refused with status 503.
func TestConfigurationSurvivesKills(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f, ctx := startFleet(t, controlPlaneOnly(n))
			revision, err := f.PutConfiguration(ctx, 1, configuration(1))
			must(t, err)
			// The coordinator is killed, and another replica becomes the coordinator.
			f.Replicas[0].Kill()
			last := f.Replicas[n-1]
			must(t, fleet.Await(ctx, "a write to be acknowledged without the first replica", func(ctx context.Context) bool {
				r, err := f.Operate(ctx, last, "PUT", configurationPath, configuration(2))
				if err != nil || r.Status != 200 {
					return false
				}
				if r.Revision <= revision {
					t.Errorf("got revision %d after revision %d, want a higher one", r.Revision, revision)
				}
				revision = r.Revision
				return true
			}))
			for _, p := range f.Replicas[1 : n/2+1] {
				p.Kill()
			}
			r, err := f.Operate(ctx, last, "PUT", configurationPath, configuration(3))
			must(t, err)
			if r.Status != 503 || r.Outcome != "not-taken" && r.Outcome != "unknown" {
				t.Errorf("write without a majority: got %d %s, want 503 not-taken or unknown", r.Status, r.Body)
			}
			if r, err = f.Operate(ctx, last, "GET", configurationPath, nil); err != nil || r.Status != 503 {
				t.Errorf("read without a majority: got %d %s, error %v, want 503", r.Status, r.Body, err)
			}
			// All replicas are killed and restarted.
			restartReplicas(ctx, t, f)
			for _, p := range f.Replicas {
				must(t, fleet.Await(ctx, "the configuration to be read back", func(ctx context.Context) bool {
					r, err = f.Operate(ctx, p, "GET", configurationPath, nil)
					return err == nil && r.Status == 200
				}))
				if r.Revision < revision || !bytes.Equal(r.Body, configuration(2)) && !bytes.Equal(r.Body, configuration(3)) {
					t.Errorf("%s returned revision %d, %q; want configuration 2 or 3 at the acknowledged revision or a later one", p.Name, r.Revision, r.Body)
				}
			}
			must(t, f.AwaitServing(ctx, revision, 0))
		})
	}
}

// TestReplacedReplica checks that a replica with an empty disk at a new address can replace a lost
// one. The new replica takes over the member ID with a new incarnation and counts towards a majority,
// so that a second replica may be lost. The replaced replica must not count when it comes back.
// Otherwise two replicas with one member ID would form a majority.
func TestReplacedReplica(t *testing.T) {
	f, ctx := startFleet(t, controlPlaneOnly(3))
	revision, err := f.PutConfiguration(ctx, 0, configuration(1))
	must(t, err)
	f.Replicas[2].Kill()
	old := f.Replicas[2]
	f.Replicas[2] = f.NewReplica(3, f.Site.IP(300), filepath.Join(f.Dir, "replica-3-new"))
	must(t, f.Replicas[2].Start())
	must(t, f.Replicas[2].AwaitReady(ctx))
	f.Replicas[0].Kill()
	var r fleet.Reply
	must(t, fleet.Await(ctx, "a read to succeed with the new replica", func(ctx context.Context) bool {
		r, err = f.Operate(ctx, f.Replicas[2], "GET", configurationPath, nil)
		return err == nil && r.Status == 200
	}))
	if r.Revision != revision || !bytes.Equal(r.Body, configuration(1)) {
		t.Errorf("got revision %d %q, want the acknowledged configuration", r.Revision, r.Body)
	}
	must(t, fleet.Await(ctx, "a write to be acknowledged with the new replica", func(ctx context.Context) bool {
		r, err = f.Operate(ctx, f.Replicas[1], "PUT", configurationPath, configuration(2))
		return err == nil && r.Status == 200
	}))
	// The old replica restarts with its old disk and must not count towards a majority.
	must(t, old.Start())
	defer old.Kill()
	f.Replicas[1].Kill()
	r, err = f.Operate(ctx, old, "PUT", configurationPath, configuration(3))
	must(t, err)
	if r.Status != 503 {
		t.Errorf("write with two replicas of one member ID: got %d %s, want 503", r.Status, r.Body)
	}
	must(t, f.AwaitServing(ctx, 3, 0))
}

// TestTornFiles checks that a replica recovers from a torn state file. The replica must move a file
// with a wrong checksum aside, join again with a new incarnation, and get the state from the other
// replicas. It must ignore a partly written temporary file.
func TestTornFiles(t *testing.T) {
	f, ctx := startFleet(t, controlPlaneOnly(3))
	revision, err := f.PutConfiguration(ctx, 0, configuration(1))
	must(t, err)
	var st replicaState
	for _, prefix := range []string{"word.", "oath."} {
		// The other two replicas may have been the majority that acknowledged the configuration.
		must(t, fleet.Await(ctx, "the replica to have the acknowledged revision", func(ctx context.Context) bool {
			var err error
			st, err = readState(ctx, f.Replicas[1])
			return err == nil && st.Position.Revision == revision
		}))
		incarnation := st.Self.Incarnation
		f.Replicas[1].Kill()
		dir := filepath.Join(f.Dir, "replica-2")
		names, err := filepath.Glob(filepath.Join(dir, prefix+"*"))
		must(t, err)
		// Truncating a temporary file would have no effect, because replicas ignore such files.
		names = slices.DeleteFunc(names, func(n string) bool { return strings.HasSuffix(n, ".aside") })
		newest := names[len(names)-1]
		b, err := os.ReadFile(newest)
		must(t, err)
		must(t, os.WriteFile(newest, b[:len(b)-2], 0o640))
		must(t, os.WriteFile(filepath.Join(dir, prefix+"99999999999999999999.aside"), []byte("half"), 0o640))
		must(t, f.Replicas[1].Start())
		must(t, f.Replicas[1].AwaitReady(ctx))
		aside, err := filepath.Glob(filepath.Join(dir, "torn-"+prefix+"*"))
		must(t, err)
		if len(aside) == 0 {
			t.Errorf("no damaged file with prefix %s was moved aside", prefix)
		}
		must(t, fleet.Await(ctx, "the replica to recover the state in a new incarnation", func(ctx context.Context) bool {
			st, err := readState(ctx, f.Replicas[1])
			return err == nil && st.Position.Revision == revision && st.Self.Incarnation > incarnation
		}))
	}
}

// TestRacingOperators checks concurrent writes at all replicas. Each acknowledged write must get a
// revision of its own, and a read must return the newest acknowledged one. Of conditional writes that
// expect the same revision, exactly one must succeed.
func TestRacingOperators(t *testing.T) {
	f, ctx := startFleet(t, controlPlaneOnly(3))
	const writers, writesPerWriter = 6, 8
	var mu sync.Mutex
	acknowledged := map[uint64]int{}
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range writesPerWriter {
				n := w*writesPerWriter + i
				r, err := f.Operate(ctx, f.Replicas[w%3], "PUT", configurationPath, configuration(n))
				if err != nil || r.Status != 200 {
					t.Errorf("write %d: got %d %s, error %v; want 200", n, r.Status, r.Body, err)
					return
				}
				mu.Lock()
				if other, duplicate := acknowledged[r.Revision]; duplicate {
					t.Errorf("revision %d was acknowledged for both write %d and write %d", r.Revision, other, n)
				}
				acknowledged[r.Revision] = n
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	var newest uint64
	for revision := range acknowledged {
		newest = max(newest, revision)
	}
	for _, p := range f.Replicas {
		r, err := f.Operate(ctx, p, "GET", configurationPath, nil)
		must(t, err)
		if r.Revision != newest || !bytes.Equal(r.Body, configuration(acknowledged[newest])) {
			t.Errorf("%s returned revision %d, want the newest, %d, with its configuration", p.Name, r.Revision, newest)
		}
	}
	// Of several conditional writes that expect the same revision, one succeeds.
	winners := make(chan uint64, writers)
	for w := range writers {
		wg.Go(func() {
			r, err := f.Operate(ctx, f.Replicas[w%3], "PUT", configurationPath, configuration(100+w), "If-Match", fmt.Sprintf(`"%d"`, newest))
			switch {
			case err == nil && r.Status == 200:
				winners <- r.Revision
			case err != nil || r.Status != 412:
				t.Errorf("conditional write: got %d %s, error %v; want 200 or 412", r.Status, r.Body, err)
			}
		})
	}
	wg.Wait()
	if len(winners) != 1 {
		t.Errorf("%d conditional writes succeeded, want 1", len(winners))
	}
}

// TestInvalidConfigurations checks that an invalid configuration changes nothing, and that the answer
// lists all its faults. A body that is not JSON must be answered with status 400.
func TestInvalidConfigurations(t *testing.T) {
	f, ctx := startFleet(t, controlPlaneOnly(1))
	_, err := f.PutConfiguration(ctx, 0, configuration(1))
	must(t, err)
	for name, test := range map[string]struct {
		body string
		// faults holds the paths of the faults that must be listed. It is nil for a body that is not
		// JSON.
		faults []string
	}{
		"truncated":      {`{`, nil},
		"plain text":     {`nonsense`, nil},
		"empty":          {``, nil},
		"array":          {`[]`, []string{"$"}},
		"null":           {`null`, []string{"$"}},
		"wrong type":     {`{"ways":3}`, []string{"$.ways"}},
		"unknown field":  {`{"ways":[],"other":1}`, []string{"$.other"}},
		"repeated field": {`{"ways":[],"ways":[]}`, []string{"$.ways"}},
		"several faults": {
			`{"contracts":[{"name":"c","aim":"2s","expiry":"1s","rank":1},{"name":"c","aim":"x","expiry":"1h","rank":0}],"ways":[{"name":"w","prefix":"p","service":"S","contract":"d"}]}`,
			[]string{
				"$.contracts[0].aim", "$.contracts[1].name", "$.contracts[1].aim", "$.contracts[1].expiry", "$.contracts[1].rank",
				"$.ways[0].service", "$.ways[0].prefix", "$.ways[0].contract",
			},
		},
		"wrong types in a route": {`{"ways":[{"name":1,"prefix":"/","service":"s","contract":2}]}`, []string{"$.ways[0].name", "$.ways[0].contract"}},
		"too large":              {`{"ways":[], "contracts":[{"name":"` + strings.Repeat("x", config.MaxBytes) + `"}]}`, []string{"$"}},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := f.Operate(ctx, f.Replicas[0], "PUT", configurationPath, []byte(test.body))
			must(t, err)
			if test.faults == nil {
				if r.Status != http.StatusBadRequest {
					t.Errorf("got %d %s, want 400", r.Status, r.Body)
				}
				return
			}
			if r.Status != http.StatusUnprocessableEntity {
				t.Errorf("got status %d, want 422", r.Status)
			}
			paths := faultPaths(t, r.Body)
			for _, path := range test.faults {
				if !paths[path] {
					t.Errorf("no fault listed at %s in %s", path, r.Body)
				}
			}
		})
	}
	r, err := f.Operate(ctx, f.Replicas[0], "GET", configurationPath, nil)
	must(t, err)
	if r.Revision != 2 || !bytes.Equal(r.Body, configuration(1)) {
		t.Errorf("after invalid writes: got revision %d %q, want 2 and the first configuration", r.Revision, r.Body)
	}
}

// faultPaths returns the paths of the faults that an answer lists.
func faultPaths(t *testing.T, body []byte) map[string]bool {
	t.Helper()
	var answer struct {
		Faults []struct {
			Path string `json:"path"`
		} `json:"faults"`
	}
	must(t, json.Unmarshal(body, &answer))
	paths := map[string]bool{}
	for _, fault := range answer.Faults {
		paths[fault.Path] = true
	}
	return paths
}

// TestConfigurationStorm checks that after many configuration changes in quick succession each sidecar
// has the newest configuration in force within 2 s. No sidecar may return to an older revision.
func TestConfigurationStorm(t *testing.T) {
	f, ctx := startFleet(t, smallFleet())
	watchContext, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, p := range f.Sidecars {
		wg.Go(func() {
			var last uint64
			fleet.Await(watchContext, "the end of the watch", func(ctx context.Context) bool {
				if current, err := f.Revision(ctx, p); err == nil {
					if current < last {
						t.Errorf("%s went back from revision %d to %d", p.Name, last, current)
					}
					last = current
				}
				return false
			})
		})
	}
	for i := range 60 {
		_, err := f.PutConfiguration(ctx, i%3, configuration(i))
		must(t, err)
	}
	revision, err := f.PutConfiguration(ctx, 0, f.Configuration())
	must(t, err)
	acknowledgedAt := time.Now()
	must(t, f.AwaitServing(ctx, revision, len(f.Size.Backends)))
	if took := time.Since(acknowledgedAt); took > 2*time.Second {
		t.Errorf("in force at all sidecars after %v, want at most 2s", took)
	}
	stop()
	wg.Wait()
}
