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

// The planner prints what a change would move, from a live replica and from a file alike, reports it by its
// exit code, and changes nothing.
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
	for _, c := range []struct {
		args []string
		code int
		says []string
	}{
		{[]string{live, "--save=" + saved}, 0, []string{"nothing moves", "window east of east ", "  places of stock in east: 9 -> 0", "  AT RISK: contract stock-read"}},
		{[]string{live, "--desired=" + write("same.json", f.Configuration())}, 0, []string{"nothing moves"}},
		{[]string{live, "--empty=west"}, 1, []string{"places of orders in west: 9 -> 0"}},
		{[]string{"--state=" + saved, "--empty=west"}, 1, []string{"places of orders in west: 9 -> 0"}},
		{[]string{"--state=" + saved, "--empty=east"}, 1, []string{"AT RISK: contract stock-take: way stock-take: no backend of stock"}},
		{[]string{"--state=" + saved, lost}, 1, []string{"duty: " + f.Replicas[0].IP, "of traces go to another core"}},
		{[]string{"--state=" + saved, "--gain=127.0.0.1:1"}, 1, []string{"127.0.0.1:1 follows none -> "}},
		{[]string{"--state=" + saved, "--desired=" + write("other.json", configuration(1))}, 1, []string{"way w: new", "way order-place: gone", "contract c: new"}},
		{[]string{"--state=" + saved, "--desired=" + write("bad.json", []byte(`{"ways":[{"name":"x"}]}`))}, 2, []string{"$.ways[0].prefix"}},
		{[]string{"--state=" + saved, "--desired=" + write("none.json", []byte(`{`))}, 2, []string{"not JSON"}},
		{[]string{"--state=" + saved, "--lose=127.0.0.1:9"}, 2, []string{"no such node"}},
		{[]string{"--state=" + saved + ".none"}, 2, []string{"no such file"}},
		{nil, 2, []string{"--core", "--state"}},
	} {
		out, err := exec.Command(binaries.Path("planner"), c.args...).CombinedOutput()
		code := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			code = exit.ExitCode()
		}
		if code != c.code {
			t.Errorf("%v: exit %d, want %d: %s", c.args, code, c.code, out)
		}
		for _, s := range c.says {
			if !strings.Contains(string(out), s) {
				t.Errorf("%v: does not print %q: %s", c.args, s, out)
			}
		}
	}
	for _, p := range f.Sidecars {
		if s, err := f.Revision(ctx, p); err != nil || s != r.Revision {
			t.Errorf("%s is at revision %d: the planner changed something", p.Name, s)
		}
	}
}
