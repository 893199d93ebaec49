// Package scale measures what the control plane costs as fleets grow: real cores and
// sidecars, and beside them hollow ones, many in a process, that speak the same
// control protocol without traffic. (DESIGN 14)
package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"curlewwalk/desired"
)

// Experiment is what an experiment file says.
type Experiment struct {
	// Sizes are swept one after the other.
	Sizes []Size `toml:"sizes" comment:"one [[sizes]] for each size, in order"`
	// Zones are where nodes and cores stand, in turn.
	Zones []string `toml:"zones" comment:"where nodes and cores stand, in turn"`
	// Delays are of what passes between cores and everybody else, by zone; what is not
	// named is not held up.
	Delays []Delay `toml:"delays" comment:"one [[delays]] for each pair of zones; of what passes between a core and others"`
	// Shoals is how many processes the hollow nodes are spread over.
	Shoals int `toml:"shoals" comment:"processes that the hollow nodes are spread over"`
	// Every is the pause between the starts of two nodes of one shoal.
	Every Duration `toml:"every" comment:"pause between the starts of two hollow nodes of a shoal"`
	// Settle is how long a fleet whose views are whole is left to itself before it is
	// counted: much of what made them so is still under way.
	Settle Duration `toml:"settle" comment:"how long a fleet is left to itself once all views are whole"`
	// Steady is how long a fleet at rest is counted.
	Steady Duration `toml:"steady" comment:"how long a fleet at rest is counted"`
	// Changes and ChangesAMinute are how many configurations are put, and how fast.
	Changes        int     `toml:"changes" comment:"configurations put at each size"`
	ChangesAMinute float64 `toml:"changes-a-minute"`
	// Failures and FailuresAnHour are how many single nodes die and come back.
	Failures       int     `toml:"failures" comment:"nodes that die and come back at each size"`
	FailuresAnHour float64 `toml:"failures-an-hour"`
	// Within bounds each wait for something to be everywhere.
	Within Duration `toml:"within" comment:"longest wait for something to be known everywhere"`
	// Tolerance is by how much hollow and real nodes may differ, as a share.
	Tolerance float64 `toml:"tolerance" comment:"share by which hollow and real may differ, by kind"`
	// Memory bounds the whole run, in MiB.
	Memory int `toml:"memory" comment:"MiB that all processes of the run may have together"`
	// Parts are numbers of nodes at which production parts are measured by themselves.
	Parts []int `toml:"parts" comment:"numbers of nodes at which parts are measured by themselves"`
	// PartsServices is how many services those nodes are of.
	PartsServices int `toml:"parts-services" comment:"services that those nodes are of, with a way and a contract each"`
}

// Size is one size of fleet.
type Size struct {
	Sidecars int `toml:"sidecars" comment:"real and hollow together"`
	Real     int `toml:"real" comment:"at least two: the first is a seed, which cores treat otherwise"`
	Cores    int `toml:"cores" comment:"1, 3, 5 and 7 have static seats, other numbers up to 31 are founded"`
	Services int `toml:"services" comment:"each with a way and a contract"`
	// Handover has hollow nodes ask all others for claims too; without it they differ
	// from real ones there, and are not compared in that kind.
	Handover bool `toml:"handover" comment:"hollow nodes ask all others for claims at their start, as real ones do (a circuit for each pair)"`
	// Herd has a whole shoal restart at once.
	Herd bool `toml:"herd" comment:"one shoal restarts at once"`
	// Alone lets all cores but one die, then that one too.
	Alone bool `toml:"alone" comment:"all cores but one die, then that one too"`
}

// static tells whether the cores have seats by their settings.
func (s Size) static() bool { return slices.Contains([]int{1, 3, 5, 7}, s.Cores) }

// Duration is a duration as text.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	got, err := time.ParseDuration(string(b))
	*d = Duration(got)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Fault is something wrong in an experiment file, and where.
type Fault struct{ Path, Text string }

// String is the fault as one line.
func (f Fault) String() string { return f.Path + ": " + f.Text }

// Default is the experiment that --print writes.
func Default() Experiment {
	e := Experiment{
		Zones: []string{"north", "east", "south", "west"}, Shoals: 4, Every: Duration(10 * time.Millisecond), Settle: Duration(3 * time.Second), Steady: Duration(10 * time.Second),
		Changes: 5, ChangesAMinute: 25, Failures: 2, FailuresAnHour: 900, Within: Duration(30 * time.Second), Tolerance: 0.1, Memory: 6000,
		Parts: []int{100, 200, 400, 800, 1600}, PartsServices: 3000,
	}
	for _, n := range []int{50, 100, 200, 400} {
		e.Sizes = append(e.Sizes, Size{Sidecars: n, Real: 4, Cores: 3, Services: 10, Handover: n <= 100, Herd: true, Alone: n <= 100})
	}
	return e
}

// Read reads and checks an experiment file.
func Read(path string) (Experiment, []Fault) {
	var e Experiment
	b, err := os.ReadFile(path)
	if err != nil {
		return e, []Fault{{path, err.Error()}}
	}
	return Parse(b)
}

// Parse reads and checks an experiment. Fields that it leaves out are those of Default.
func Parse(b []byte) (Experiment, []Fault) {
	e := Default()
	e.Sizes = nil
	err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&e)
	var strict *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		var out []Fault
		for _, d := range strict.Errors {
			out = append(out, Fault{strings.Join(d.Key(), "."), "no such field"})
		}
		return e, out
	case errors.As(err, &bad):
		row, column := bad.Position()
		return e, []Fault{{strings.Join(bad.Key(), "."), fmt.Sprintf("line %d, column %d: %s", row, column, bad.Error())}}
	case err != nil:
		return e, []Fault{{"", err.Error()}}
	}
	return e, e.check()
}

// mostNodes is how many addresses a site has for hollow nodes.
const mostNodes = 48000

// check lists what is wrong.
func (e Experiment) check() (out []Fault) {
	within := func(path string, got, least, most float64) {
		if !(got >= least && got <= most) {
			out = append(out, Fault{path, fmt.Sprintf("%v is not from %v to %v", got, least, most)})
		}
	}
	span := func(path string, got Duration, least, most time.Duration) {
		if d := time.Duration(got); d < least || d > most {
			out = append(out, Fault{path, fmt.Sprintf("%v is not from %v to %v", d, least, most)})
		}
	}
	if len(e.Sizes) == 0 && len(e.Parts) == 0 {
		out = append(out, Fault{"sizes", "there is neither a size nor a part to measure"})
	}
	for i, s := range e.Sizes {
		at := fmt.Sprintf("sizes[%d].", i)
		within(at+"sidecars", float64(s.Sidecars), 3, mostNodes)
		within(at+"real", float64(s.Real), 2, 100)
		within(at+"services", float64(s.Services), 1, 20000)
		if s.Sidecars <= s.Real {
			out = append(out, Fault{at + "sidecars", "there must be more than the real ones"})
		}
		within(at+"cores", float64(s.Cores), 1, 31)
	}
	if len(e.Zones) == 0 {
		out = append(out, Fault{"zones", "there is none"})
	}
	for i, z := range e.Zones {
		if !desired.IsName(z) {
			out = append(out, Fault{fmt.Sprintf("zones[%d]", i), fmt.Sprintf("%q must be %s", z, desired.NameForm)})
		}
	}
	for i, d := range e.Delays {
		at := fmt.Sprintf("delays[%d].", i)
		if len(d.Between) != 2 {
			out = append(out, Fault{at + "between", "must name two zones"})
		}
		for j, z := range d.Between {
			if !slices.Contains(e.Zones, z) {
				out = append(out, Fault{fmt.Sprintf("%sbetween[%d]", at, j), fmt.Sprintf("%q is none of the zones", z)})
			}
		}
		span(at+"one-way", d.OneWay, 0, time.Second)
	}
	within("shoals", float64(e.Shoals), 1, 100)
	span("every", e.Every, 0, 10*time.Second)
	span("settle", e.Settle, 0, 10*time.Minute)
	span("steady", e.Steady, 500*time.Millisecond, 10*time.Minute)
	within("changes", float64(e.Changes), 0, 1000)
	within("changes-a-minute", e.ChangesAMinute, 1, 6000)
	within("failures", float64(e.Failures), 0, 1000)
	within("failures-an-hour", e.FailuresAnHour, 1, 36000)
	span("within", e.Within, time.Second, 10*time.Minute)
	within("tolerance", e.Tolerance, 0, 1)
	within("memory", float64(e.Memory), 100, 1<<20)
	for i, n := range e.Parts {
		within(fmt.Sprintf("parts[%d]", i), float64(n), 4, 100000)
	}
	within("parts-services", float64(e.PartsServices), 1, 20000)
	return out
}
