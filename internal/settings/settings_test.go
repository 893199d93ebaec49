package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// validSettings is a valid settings file of a sidecar.
const validSettings = `locality = north
wire = 127.0.0.1:7400
control = 127.0.0.1:7401
inquiries = 127.0.0.1:7402
seed = 10.0.0.1:7400
seed = 10.0.0.2:7400
outgoing = orders:127.0.0.1:7500
drain = 3s
`

// writeFile writes text to a settings file in a temporary directory and returns the file's name.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// Settings come from the file, and a flag overrides the file. A flag that may be repeated replaces the
// file's values rather than adding to them. Advertise defaults to Wire.
func TestFlagsOverrideFile(t *testing.T) {
	s, exit := ReadSidecar([]string{"--settings", writeFile(t, validSettings), "--drain=5s", "--seed=10.0.0.9:1", "--advertise=10.0.0.7:7400"})
	if exit.Now {
		t.Fatal(exit.Text)
	}
	if s.Zone != "north" || s.Drain != 5*time.Second || s.Advertise != "10.0.0.7:7400" || s.Wire != "127.0.0.1:7400" || s.Outgoing["orders"] != "127.0.0.1:7500" {
		t.Errorf("file and flags give %+v, want the file's settings with drain and advertise of the flags", s)
	}
	if d := cmp.Diff([]string{"10.0.0.9:1"}, s.Seeds); d != "" {
		t.Error(d)
	}
	if s, _ := ReadSidecar([]string{"--settings", writeFile(t, validSettings)}); len(s.Seeds) != 2 || s.Advertise != s.Wire {
		t.Errorf("the file alone gives %+v, want its two seeds, and wire as the advertised address", s)
	}
}

// An invalid setting ends the program with exit code 2, and with one line that names the setting, its
// value and the allowed values. --check, --help and --version end it with exit code 0.
func TestExitCodesAndMessages(t *testing.T) {
	f := writeFile(t, validSettings)
	controlPlane := []string{"--locality=n", "--wire=127.0.0.1:1", "--control=127.0.0.1:2", "--slot=1", "--data=x"}
	for _, c := range []struct {
		args         []string
		controlPlane bool
		code         int
		names        []string
	}{
		{[]string{"--settings", f, "--wire=nowhere"}, false, 2, []string{"wire", `"nowhere"`, "IP address and port"}},
		{[]string{"--settings", f, "--locality=No Where"}, false, 2, []string{"locality", `"No Where"`, "lower-case"}},
		{[]string{"--settings", f, "--drain=soon"}, false, 2, []string{"drain", `"soon"`}},
		{[]string{"--settings", f, "--trace-queue=0"}, false, 2, []string{"trace-queue", `"0"`, "at least 1"}},
		{[]string{"--settings", f, "--max-body=10"}, false, 2, []string{"max-body", `"10"`, "1024"}},
		{[]string{"--settings", f, "--max-body=999999999"}, false, 2, []string{"max-body", "67108864"}},
		{[]string{"--settings", f, "--body-memory=1"}, false, 2, []string{"body-memory", "max-body"}},
		{[]string{"--settings", f, "--memory=63"}, false, 2, []string{"memory", `"63"`, "max-body"}},
		{[]string{"--settings", f, "--memory=-1"}, false, 2, []string{"memory", `"-1"`}},
		{[]string{"--settings", f, "--beat=10ms"}, false, 2, []string{"beat", `"10ms"`, "50ms"}},
		{[]string{"--settings", f, "--shun=-1s"}, false, 2, []string{"shun", `"-1s"`, "0s"}},
		{[]string{"--settings", f, "--fresh-halving=2h"}, false, 2, []string{"fresh-halving", "1m"}},
		{[]string{"--settings", f, "--ramp=soon"}, false, 2, []string{"ramp", `"soon"`}},
		{[]string{"--settings", f, "--ramp-from=0"}, false, 2, []string{"ramp-from", `"0"`, "above 0"}},
		{[]string{"--settings", f, "--ramp-from=NaN"}, false, 2, []string{"ramp-from", `"NaN"`}},
		{[]string{"--settings", f, "--seed=a:1"}, false, 2, []string{"seed", `"a:1"`}},
		{[]string{"--settings", f, "--seed=1.1.1.1:1", "--seed=1.1.1.1:2", "--seed=1.1.1.1:3", "--seed=1.1.1.1:4"}, false, 2, []string{"seed", "three"}},
		{[]string{"--settings", f, "--outgoing=orders:here"}, false, 2, []string{"outgoing orders", `"here"`}},
		{[]string{"--settings", f + ".none"}, false, 2, []string{".none"}},
		{[]string{"--settings", writeFile(t, validSettings+"colour = red\n")}, false, 2, []string{"colour"}},
		{[]string{"--settings", f, "--colour=red"}, false, 2, []string{"colour"}},
		{[]string{"--settings", f, "stray"}, false, 2, []string{`"stray"`}},
		{nil, false, 2, []string{"locality", `""`}},
		{append(controlPlane, "--slots=4"), true, 2, []string{"slots", `"4"`, "3"}},
		{append(controlPlane, "--slots=3", "--slot=4"), true, 2, []string{"slot", `"4"`}},
		{append(controlPlane, "--data="), true, 2, []string{"data"}},
		{append(controlPlane, "--check"), true, 0, []string{"good"}},
		{[]string{"--settings", f, "--check"}, false, 0, []string{"good"}},
		{[]string{"--version"}, false, 0, []string{"curlewwalk"}},
		{[]string{"--help"}, true, 0, []string{"--slot", "--data"}},
	} {
		t.Run(strings.Join(c.names, " "), func(t *testing.T) {
			var exit Exit
			if c.controlPlane {
				_, exit = ReadControlPlane(c.args)
			} else {
				_, exit = ReadSidecar(c.args)
			}
			if !exit.Now || exit.Code != c.code || c.code == exitCodeInvalid && strings.Contains(exit.Text, "\n") {
				t.Errorf("%v: got %+v, want an exit with the case's code, and one line of text if the settings are invalid", c.args, exit)
			}
			for _, n := range c.names {
				if !strings.Contains(exit.Text, n) {
					t.Errorf("%v: text %q does not contain %q", c.args, exit.Text, n)
				}
			}
		})
	}
}

// Settings that are not given have their defaults. If memory is limited and body-memory is not given,
// body-memory is a quarter of memory, and at most 256 MiB.
func TestDefaultsAndBodyMemory(t *testing.T) {
	f := writeFile(t, validSettings)
	s, exit := ReadSidecar([]string{"--settings", f})
	if exit.Now || s.Beat != 500*time.Millisecond || s.Halving != 10*time.Second || s.Shun != time.Second || s.Ramp != 10*time.Second || s.RampFrom != 0.2 || s.Memory != 0 || s.BodyMemory != 256<<20 {
		t.Errorf("got settings %+v, exit %+v, want the defaults and no exit", s, exit)
	}
	for flags, want := range map[string]int64{"--memory=64": 16 << 20, "--memory=500": 125 << 20, "--memory=4096": 256 << 20, "--memory=500 --body-memory=300000000": 300000000} {
		if s, exit := ReadSidecar(append([]string{"--settings", f}, strings.Fields(flags)...)); exit.Now || s.BodyMemory != want {
			t.Errorf("%s: got body-memory %d, want %d; exit %+v", flags, s.BodyMemory, want, exit)
		}
	}
}

// Diff separates the changed settings that a reload can apply from those that need a restart.
func TestDiffSeparatesReloadableSettings(t *testing.T) {
	f := writeFile(t, validSettings)
	old, _ := ReadSidecar([]string{"--settings", f})
	next, _ := ReadSidecar([]string{"--settings", f, "--drain=9s", "--seed=10.0.0.9:1", "--inquiries=127.0.0.1:9"})
	want := ReloadResult{Applied: []string{"seed", "drain"}, NeedsRestart: []string{"inquiries"}}
	if d := cmp.Diff(want, Diff(old, next)); d != "" {
		t.Error(d)
	}
}
