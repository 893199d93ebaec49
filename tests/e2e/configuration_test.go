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

// controlPlaneOnly is a fleet of replicas with a single machine without backends.
func controlPlaneOnly(n int) fleet.Size {
	return fleet.Size{Name: "control-plane", Replicas: n, Machines: 1, Zones: []string{"north", "east", "south"}, Plans: fleet.Association().Plans}
}

// configuration is a valid configuration, told from others by the name of its service.
func configuration(n int) []byte {
	return fmt.Appendf(nil, "{ \"ways\": [{\"name\":\"w\",\"prefix\":\"/\",\"service\":\"s%d\",\"contract\":\"c\"}],\n \"contracts\": [{\"name\":\"c\",\"aim\":\"1s\",\"expiry\":\"2s\",\"rank\":1}]} \n", n)
}

// An acknowledged configuration survives kills of any minority and of all replicas, with 3 and with 5
// replicas; without a majority a write is refused and says so.
func TestConfigurationSurvivesKills(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f, ctx := startFleet(t, controlPlaneOnly(n))
			revision, err := f.PutConfiguration(ctx, 1, configuration(1))
			must(t, err)
			// The coordinator is killed; another replica becomes it.
			f.Replicas[0].Kill()
			last := f.Replicas[n-1]
			must(t, fleet.Await(ctx, "a write without the first replica", func(ctx context.Context) bool {
				r, err := f.Operate(ctx, last, "PUT", configurationPath, configuration(2))
				if err != nil || r.Status != 200 {
					return false
				}
				if r.Revision <= revision {
					t.Errorf("revision %d after %d", r.Revision, revision)
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
				t.Errorf("a write without a majority: %d %s", r.Status, r.Body)
			}
			if r, err = f.Operate(ctx, last, "GET", configurationPath, nil); err != nil || r.Status != 503 {
				t.Errorf("a read without a majority: %d %s %v", r.Status, r.Body, err)
			}
			// All replicas die and come back.
			restartReplicas(ctx, t, f)
			for _, p := range f.Replicas {
				must(t, fleet.Await(ctx, "the configuration to be read back", func(ctx context.Context) bool {
					r, err = f.Operate(ctx, p, "GET", configurationPath, nil)
					return err == nil && r.Status == 200
				}))
				if r.Revision < revision || !bytes.Equal(r.Body, configuration(2)) && !bytes.Equal(r.Body, configuration(3)) {
					t.Errorf("%s reads back revision %d, %q", p.Name, r.Revision, r.Body)
				}
			}
			must(t, f.AwaitServing(ctx, revision, 0))
		})
	}
}

// A replica that is replaced by one with an empty disk at a new address gets the member ID in a new
// incarnation, and is as good as the old one: with it, another replica may be lost.
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
	must(t, fleet.Await(ctx, "a read with the new replica", func(ctx context.Context) bool {
		r, err = f.Operate(ctx, f.Replicas[2], "GET", configurationPath, nil)
		return err == nil && r.Status == 200
	}))
	if r.Revision != revision || !bytes.Equal(r.Body, configuration(1)) {
		t.Errorf("read back revision %d %q", r.Revision, r.Body)
	}
	must(t, fleet.Await(ctx, "a write with the new replica", func(ctx context.Context) bool {
		r, err = f.Operate(ctx, f.Replicas[1], "PUT", configurationPath, configuration(2))
		return err == nil && r.Status == 200
	}))
	// The old replica comes back with its old disk, and counts for nothing.
	must(t, old.Start())
	defer old.Kill()
	f.Replicas[1].Kill()
	r, err = f.Operate(ctx, old, "PUT", configurationPath, configuration(3))
	must(t, err)
	if r.Status != 503 {
		t.Errorf("two replicas with one member ID made a majority: %d %s", r.Status, r.Body)
	}
	must(t, f.AwaitServing(ctx, 3, 0))
}

// A file that does not match its checksum is moved aside; the replica joins again and gets the state
// from the others. A half-written temporary file is ignored.
func TestTornFiles(t *testing.T) {
	f, ctx := startFleet(t, controlPlaneOnly(3))
	revision, err := f.PutConfiguration(ctx, 0, configuration(1))
	must(t, err)
	var st replicaState
	for _, kind := range []string{"word.", "oath."} {
		// Others may have been the majority that acknowledged it.
		must(t, fleet.Await(ctx, "the state on its disk", func(ctx context.Context) bool {
			var err error
			st, err = readState(ctx, f.Replicas[1])
			return err == nil && st.Position.Revision == revision
		}))
		incarnation := st.Self.Incarnation
		f.Replicas[1].Kill()
		dir := filepath.Join(f.Dir, "replica-2")
		names, err := filepath.Glob(filepath.Join(dir, kind+"*"))
		must(t, err)
		// A temporary file is ignored, so tearing it would do no harm.
		names = slices.DeleteFunc(names, func(n string) bool { return strings.HasSuffix(n, ".aside") })
		newest := names[len(names)-1]
		b, err := os.ReadFile(newest)
		must(t, err)
		must(t, os.WriteFile(newest, b[:len(b)-2], 0o640))
		must(t, os.WriteFile(filepath.Join(dir, kind+"99999999999999999999.aside"), []byte("half"), 0o640))
		must(t, f.Replicas[1].Start())
		must(t, f.Replicas[1].AwaitReady(ctx))
		aside, err := filepath.Glob(filepath.Join(dir, "torn-"+kind+"*"))
		must(t, err)
		if len(aside) == 0 {
			t.Errorf("no %s file was moved aside", kind)
		}
		must(t, fleet.Await(ctx, "the state to be repaired", func(ctx context.Context) bool {
			st, err := readState(ctx, f.Replicas[1])
			return err == nil && st.Position.Revision == revision && st.Self.Incarnation > incarnation
		}))
	}
}

// Operators race at all replicas, some conditionally: every acknowledged write has a revision of its
// own, and what is read back is the newest of them.
func TestRacingOperators(t *testing.T) {
	f, ctx := startFleet(t, controlPlaneOnly(3))
	const writers, each = 6, 8
	var mu sync.Mutex
	acknowledged := map[uint64]int{}
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				n := w*each + i
				r, err := f.Operate(ctx, f.Replicas[w%3], "PUT", configurationPath, configuration(n))
				if err != nil || r.Status != 200 {
					t.Errorf("write %d: %d %s %v", n, r.Status, r.Body, err)
					return
				}
				mu.Lock()
				if o, twice := acknowledged[r.Revision]; twice {
					t.Errorf("revision %d for both %d and %d", r.Revision, o, n)
				}
				acknowledged[r.Revision] = n
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	var newest uint64
	for s := range acknowledged {
		newest = max(newest, s)
	}
	for _, p := range f.Replicas {
		r, err := f.Operate(ctx, p, "GET", configurationPath, nil)
		must(t, err)
		if r.Revision != newest || !bytes.Equal(r.Body, configuration(acknowledged[newest])) {
			t.Errorf("%s reads back revision %d, the newest is %d", p.Name, r.Revision, newest)
		}
	}
	// Of writers that all expect the same revision, one wins.
	wins := make(chan uint64, writers)
	for w := range writers {
		wg.Go(func() {
			r, err := f.Operate(ctx, f.Replicas[w%3], "PUT", configurationPath, configuration(100+w), "If-Match", fmt.Sprintf(`"%d"`, newest))
			switch {
			case err == nil && r.Status == 200:
				wins <- r.Revision
			case err != nil || r.Status != 412:
				t.Errorf("conditional write: %d %s %v", r.Status, r.Body, err)
			}
		})
	}
	wg.Wait()
	if len(wins) != 1 {
		t.Errorf("%d conditional writes won", len(wins))
	}
}

// An invalid configuration changes nothing, and the answer lists all its faults; what is no JSON is a
// bad request.
func TestInvalidConfigurations(t *testing.T) {
	f, ctx := startFleet(t, controlPlaneOnly(1))
	_, err := f.PutConfiguration(ctx, 0, configuration(1))
	must(t, err)
	for name, test := range map[string]struct {
		body string
		// faults are the paths of the faults that must be listed; none for what is no JSON.
		faults []string
	}{
		"unfinished":     {`{`, nil},
		"text":           {`nonsense`, nil},
		"nothing":        {``, nil},
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
					t.Errorf("%d %s", r.Status, r.Body)
				}
				return
			}
			if r.Status != http.StatusUnprocessableEntity {
				t.Errorf("status %d", r.Status)
			}
			paths := faultPaths(t, r.Body)
			for _, path := range test.faults {
				if !paths[path] {
					t.Errorf("no fault at %s in %s", path, r.Body)
				}
			}
		})
	}
	r, err := f.Operate(ctx, f.Replicas[0], "GET", configurationPath, nil)
	must(t, err)
	if r.Revision != 2 || !bytes.Equal(r.Body, configuration(1)) {
		t.Errorf("afterwards revision %d %q", r.Revision, r.Body)
	}
}

// faultPaths are the paths of the faults that an answer lists.
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

// In a storm of configurations every sidecar has the newest one in force within 2 s, and none goes
// back.
func TestConfigurationStorm(t *testing.T) {
	f, ctx := startFleet(t, smallFleet())
	watchContext, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, p := range f.Sidecars {
		wg.Go(func() {
			var last uint64
			fleet.Await(watchContext, "the end of the watch", func(ctx context.Context) bool {
				if s, err := f.Revision(ctx, p); err == nil {
					if s < last {
						t.Errorf("%s went from %d back to %d", p.Name, last, s)
					}
					last = s
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
		t.Errorf("in force everywhere only after %v", took)
	}
	stop()
	wg.Wait()
}
