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

// coresOnly is a fleet without machines.
func coresOnly(n int) fleet.Size {
	return fleet.Size{Name: "cores", Cores: n, Machines: 1, Zones: []string{"north", "east", "south"}, Plans: fleet.Association().Plans}
}

// configuration is a valid one, told from others by its service's name.
func configuration(n int) []byte {
	return fmt.Appendf(nil, "{ \"ways\": [{\"name\":\"w\",\"prefix\":\"/\",\"service\":\"s%d\",\"contract\":\"c\"}],\n \"contracts\": [{\"name\":\"c\",\"aim\":\"1s\",\"expiry\":\"2s\",\"rank\":1}]} \n", n)
}

// Acknowledged words outlive kills of any minority and of the whole herd, with
// 3 and with 5 cores; without a majority a write is refused and says so.
func TestWordOutlivesKills(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f, ctx := start(t, coresOnly(n))
			stamp, err := f.Put(ctx, 1, configuration(1))
			must(t, err)
			// The core on duty is killed; another takes the duty.
			f.Cores[0].Kill()
			last := f.Cores[n-1]
			must(t, fleet.Await(ctx, "a write without the first core", func(ctx context.Context) bool {
				r, err := f.Operate(ctx, last, "PUT", "/v1/desired", configuration(2))
				if err != nil || r.Status != 200 {
					return false
				}
				if r.Stamp <= stamp {
					t.Errorf("stamp %d after %d", r.Stamp, stamp)
				}
				stamp = r.Stamp
				return true
			}))
			for _, p := range f.Cores[1 : n/2+1] {
				p.Kill()
			}
			r, err := f.Operate(ctx, last, "PUT", "/v1/desired", configuration(3))
			must(t, err)
			if r.Status != 503 || r.Taken != "not-taken" && r.Taken != "unknown" {
				t.Errorf("a write without a majority: %d %s", r.Status, r.Body)
			}
			if r, err = f.Operate(ctx, last, "GET", "/v1/desired", nil); err != nil || r.Status != 503 {
				t.Errorf("a read without a majority: %d %s %v", r.Status, r.Body, err)
			}
			// The whole herd dies and comes back.
			for _, p := range f.Cores {
				if p.Running() {
					p.Kill()
				}
			}
			for _, p := range f.Cores {
				must(t, p.Start())
			}
			for _, p := range f.Cores {
				must(t, p.Ready(ctx))
			}
			for _, p := range f.Cores {
				must(t, fleet.Await(ctx, "the word to be read back", func(ctx context.Context) bool {
					r, err = f.Operate(ctx, p, "GET", "/v1/desired", nil)
					return err == nil && r.Status == 200
				}))
				if r.Stamp < stamp || !bytes.Equal(r.Body, configuration(2)) && !bytes.Equal(r.Body, configuration(3)) {
					t.Errorf("%s reads back stamp %d, %q", p.Name, r.Stamp, r.Body)
				}
			}
			must(t, f.AwaitServing(ctx, stamp, 0))
		})
	}
}

// A core machine swapped for an empty one at a new address takes the slot in a
// new incarnation and is as good as the old: with it, another core may be lost.
func TestSwappedCore(t *testing.T) {
	f, ctx := start(t, coresOnly(3))
	stamp, err := f.Put(ctx, 0, configuration(1))
	must(t, err)
	f.Cores[2].Kill()
	old := f.Cores[2]
	f.Cores[2] = f.NewCore(3, f.Site.IP(300), filepath.Join(f.Dir, "core-3-new"))
	must(t, f.Cores[2].Start())
	must(t, f.Cores[2].Ready(ctx))
	f.Cores[0].Kill()
	var r fleet.Reply
	must(t, fleet.Await(ctx, "a read with the new core", func(ctx context.Context) bool {
		r, err = f.Operate(ctx, f.Cores[2], "GET", "/v1/desired", nil)
		return err == nil && r.Status == 200
	}))
	if r.Stamp != stamp || !bytes.Equal(r.Body, configuration(1)) {
		t.Errorf("read back stamp %d %q", r.Stamp, r.Body)
	}
	must(t, fleet.Await(ctx, "a write with the new core", func(ctx context.Context) bool {
		r, err = f.Operate(ctx, f.Cores[1], "PUT", "/v1/desired", configuration(2))
		return err == nil && r.Status == 200
	}))
	// The old core comes back with its old disk: it has no say any more.
	must(t, old.Start())
	defer old.Kill()
	f.Cores[1].Kill()
	r, err = f.Operate(ctx, old, "PUT", "/v1/desired", configuration(3))
	must(t, err)
	if r.Status != 503 {
		t.Errorf("two holders of one slot made a majority: %d %s", r.Status, r.Body)
	}
	must(t, f.AwaitServing(ctx, 3, 0))
}

// A file that does not match its checksum is set aside; the core takes its
// seat anew and has the word again. A half-written aside file is nothing.
func TestTornFiles(t *testing.T) {
	f, ctx := start(t, coresOnly(3))
	stamp, err := f.Put(ctx, 0, configuration(1))
	must(t, err)
	var st struct {
		Self struct{ Incarnation uint64 }
		Mark struct{ Stamp uint64 }
	}
	for _, kind := range []string{"word.", "oath."} {
		// Others may have been the majority that acknowledged it.
		must(t, fleet.Await(ctx, "the word on its disk", func(ctx context.Context) bool {
			_, err := f.Cores[1].Get(ctx, "/v1/state", &st)
			return err == nil && st.Mark.Stamp == stamp
		}))
		was := st.Self.Incarnation
		f.Cores[1].Kill()
		dir := filepath.Join(f.Dir, "core-2")
		names, err := filepath.Glob(filepath.Join(dir, kind+"*"))
		must(t, err)
		// A file that was being written aside is nothing, and tearing it no harm.
		names = slices.DeleteFunc(names, func(n string) bool { return strings.HasSuffix(n, ".aside") })
		newest := names[len(names)-1]
		b, err := os.ReadFile(newest)
		must(t, err)
		must(t, os.WriteFile(newest, b[:len(b)-2], 0o640))
		must(t, os.WriteFile(filepath.Join(dir, kind+"99999999999999999999.aside"), []byte("half"), 0o640))
		must(t, f.Cores[1].Start())
		must(t, f.Cores[1].Ready(ctx))
		aside, err := filepath.Glob(filepath.Join(dir, "torn-"+kind+"*"))
		must(t, err)
		if len(aside) == 0 {
			t.Errorf("no %s file was set aside", kind)
		}
		must(t, fleet.Await(ctx, "the word to be mended", func(ctx context.Context) bool {
			_, err := f.Cores[1].Get(ctx, "/v1/state", &st)
			return err == nil && st.Mark.Stamp == stamp && st.Self.Incarnation > was
		}))
	}
}

// Operators race at all cores, some on condition: every acknowledged write has
// a stamp of its own, and what is read back is the newest of them.
func TestRacingOperators(t *testing.T) {
	f, ctx := start(t, coresOnly(3))
	const writers, each = 6, 8
	var mu sync.Mutex
	taken := map[uint64]int{}
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				n := w*each + i
				r, err := f.Operate(ctx, f.Cores[w%3], "PUT", "/v1/desired", configuration(n))
				if err != nil || r.Status != 200 {
					t.Errorf("write %d: %d %s %v", n, r.Status, r.Body, err)
					return
				}
				mu.Lock()
				if o, twice := taken[r.Stamp]; twice {
					t.Errorf("stamp %d for both %d and %d", r.Stamp, o, n)
				}
				taken[r.Stamp] = n
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	var top uint64
	for s := range taken {
		top = max(top, s)
	}
	for _, p := range f.Cores {
		r, err := f.Operate(ctx, p, "GET", "/v1/desired", nil)
		must(t, err)
		if r.Stamp != top || !bytes.Equal(r.Body, configuration(taken[top])) {
			t.Errorf("%s reads back stamp %d, the newest is %d", p.Name, r.Stamp, top)
		}
	}
	// Of writers that all name the same stamp, one wins.
	wins := make(chan uint64, writers)
	for w := range writers {
		wg.Go(func() {
			r, err := f.Operate(ctx, f.Cores[w%3], "PUT", "/v1/desired", configuration(100+w), "If-Match", fmt.Sprintf(`"%d"`, top))
			switch {
			case err == nil && r.Status == 200:
				wins <- r.Stamp
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

// A configuration that does not check changes nothing and is told all its
// faults; what is no JSON is a bad request.
func TestInvalidConfigurations(t *testing.T) {
	f, ctx := start(t, coresOnly(1))
	_, err := f.Put(ctx, 0, configuration(1))
	must(t, err)
	for body, want := range map[string][]string{
		`{`:                     nil,
		`nonsense`:              nil,
		``:                      nil,
		`[]`:                    {"$"},
		`null`:                  {"$"},
		`{"ways":3}`:            {"$.ways"},
		`{"ways":[],"other":1}`: {"$.other"},
		`{"ways":[],"ways":[]}`: {"$.ways"},
		`{"contracts":[{"name":"c","aim":"2s","expiry":"1s","rank":1},{"name":"c","aim":"x","expiry":"1h","rank":0}],"ways":[{"name":"w","prefix":"p","service":"S","contract":"d"}]}`: {
			"$.contracts[0].aim", "$.contracts[1].name", "$.contracts[1].aim", "$.contracts[1].expiry", "$.contracts[1].rank",
			"$.ways[0].service", "$.ways[0].prefix", "$.ways[0].contract",
		},
		`{"ways":[{"name":1,"prefix":"/","service":"s","contract":2}]}`:                      {"$.ways[0].name", "$.ways[0].contract"},
		`{"ways":[], "contracts":[{"name":"` + strings.Repeat("x", config.MaxBytes) + `"}]}`: {"$"},
	} {
		r, err := f.Operate(ctx, f.Cores[0], "PUT", "/v1/desired", []byte(body))
		must(t, err)
		short := body[:min(len(body), 60)]
		if want == nil {
			if r.Status != http.StatusBadRequest {
				t.Errorf("%s: %d %s", short, r.Status, r.Body)
			}
			continue
		}
		var got struct {
			Faults []struct{ Path, Message string }
		}
		must(t, json.Unmarshal(r.Body, &got))
		if r.Status != http.StatusUnprocessableEntity {
			t.Errorf("%s: status %d", short, r.Status)
		}
		paths := map[string]bool{}
		for _, x := range got.Faults {
			paths[x.Path] = true
		}
		for _, p := range want {
			if !paths[p] {
				t.Errorf("%s: no fault at %s in %s", short, p, r.Body)
			}
		}
	}
	r, err := f.Operate(ctx, f.Cores[0], "GET", "/v1/desired", nil)
	must(t, err)
	if r.Stamp != 2 || !bytes.Equal(r.Body, configuration(1)) {
		t.Errorf("afterwards stamp %d %q", r.Stamp, r.Body)
	}
}

// In a storm of configurations every sidecar has each newest one in force
// within 2 s, and none goes back.
func TestStorm(t *testing.T) {
	f, ctx := start(t, small())
	watch, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, p := range f.Sidecars {
		wg.Go(func() {
			var last uint64
			fleet.Await(watch, "the end of the watch", func(ctx context.Context) bool {
				if s, err := f.Stamp(ctx, p); err == nil {
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
		_, err := f.Put(ctx, i%3, configuration(i))
		must(t, err)
	}
	stamp, err := f.Put(ctx, 0, f.Configuration())
	must(t, err)
	acked := time.Now()
	must(t, f.AwaitServing(ctx, stamp, len(f.Size.Backends)))
	if took := time.Since(acked); took > 2*time.Second {
		t.Errorf("in force everywhere only after %v", took)
	}
	stop()
	wg.Wait()
}
