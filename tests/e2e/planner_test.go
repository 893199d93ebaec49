package e2e

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestPlanner checks the output and the exit code of the planner, with the state of a live replica and
// with a saved state file. The planner must print what a change would move, and must not change
// anything.
func TestPlanner(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	dir := t.TempDir()
	write := func(name string, b []byte) string {
		path := filepath.Join(dir, name)
		must(t, os.WriteFile(path, b, 0o600))
		return path
	}
	r, err := f.Operate(ctx, f.Replicas[0], "PUT", "/v1/windows", calendar(map[string][2]int{"east": {3600, 7200}}))
	must(t, err)
	must(t, f.AwaitServing(ctx, r.Revision, len(f.Size.Backends)))
	saved := filepath.Join(dir, "state.json")
	live := "--core=" + f.Replicas[1].Control
	lost := fmt.Sprintf("--lose=%s:7400", f.Replicas[0].IP)
	for _, test := range []struct {
		name   string
		args   []string
		code   int
		prints []string
	}{
		{"live", []string{live, "--save=" + saved}, 0, []string{"nothing moves", "window east of east ", "  places of stock in east: 9 -> 0", "  AT RISK: contract stock-read"}},
		{"unchanged configuration", []string{live, "--desired=" + write("same.json", f.Configuration())}, 0, []string{"nothing moves"}},
		{"evacuation of the live state", []string{live, "--empty=west"}, 1, []string{"places of orders in west: 9 -> 0"}},
		{"evacuation", []string{"--state=" + saved, "--empty=west"}, 1, []string{"places of orders in west: 9 -> 0"}},
		{"evacuation without another backend", []string{"--state=" + saved, "--empty=east"}, 1, []string{"AT RISK: contract stock-take: way stock-take: no backend of stock"}},
		{"lost replica", []string{"--state=" + saved, lost}, 1, []string{"duty: " + f.Replicas[0].IP, "of traces go to another core"}},
		{"added sidecar", []string{"--state=" + saved, "--gain=127.0.0.1:1"}, 1, []string{"127.0.0.1:1 follows none -> "}},
		{"other configuration", []string{"--state=" + saved, "--desired=" + write("other.json", configuration(1))}, 1, []string{"way w: new", "way order-place: gone", "contract c: new"}},
		{"invalid configuration", []string{"--state=" + saved, "--desired=" + write("bad.json", []byte(`{"ways":[{"name":"x"}]}`))}, 2, []string{"$.ways[0].prefix"}},
		{"not JSON", []string{"--state=" + saved, "--desired=" + write("none.json", []byte(`{`))}, 2, []string{"not JSON"}},
		{"unknown node", []string{"--state=" + saved, "--lose=127.0.0.1:9"}, 2, []string{"no such node"}},
		{"no state file", []string{"--state=" + saved + ".none"}, 2, []string{"no such file"}},
		{"no state", nil, 2, []string{"--core", "--state"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			out, err := exec.Command(binaries.Path("planner"), test.args...).CombinedOutput()
			code := 0
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				code = exit.ExitCode()
			}
			if code != test.code {
				t.Errorf("%v: got exit code %d, want %d: %s", test.args, code, test.code, out)
			}
			for _, want := range test.prints {
				if !strings.Contains(string(out), want) {
					t.Errorf("%v: the output does not contain %q: %s", test.args, want, out)
				}
			}
		})
	}
	for _, p := range f.Sidecars {
		if revision, err := f.Revision(ctx, p); err != nil || revision != r.Revision {
			t.Errorf("%s is at revision %d, want no change by the planner", p.Name, revision)
		}
	}
}
