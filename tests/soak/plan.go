package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"curlewwalk/tests/fleet"
)

// Plan is what happens in a run. A plan of the same deployment, size and entries has the same
// happen, as far as the machine's timing allows it.
type Plan struct {
	Deployment string `toml:"deployment"`
	Seed       uint64 `toml:"seed"`
	// Machines is the number of sidecars; zero for the deployment's own.
	Machines int `toml:"machines"`
	// Seconds is for how long entries may begin.
	Seconds float64 `toml:"seconds"`
	// Clients is the number of clients on each machine.
	Clients int `toml:"clients"`
	// AbandonRate is the share of requests that clients abandon.
	AbandonRate float64 `toml:"leaves"`
	Entries     []Entry `toml:"entry"`
	// Last is the last fault; empty for none.
	Last Kind `toml:"last"`
}

// Entry is one fault, or one planned change.
type Entry struct {
	// At is when it begins, For how long it lasts; both in seconds.
	At   float64 `toml:"at"`
	For  float64 `toml:"for"`
	Kind Kind    `toml:"kind"`
	// Target chooses whom it is done to, Count to how many.
	Target int `toml:"target"`
	Count  int `toml:"count"`
	// Variant is one of those of the kind.
	Variant string `toml:"how"`
}

// Limits of a plan.
const (
	maxMachines = 240
	maxSeconds  = 3600
	maxClients  = 50
)

// ReadPlan reads a plan from TOML and checks it.
func ReadPlan(text []byte) (p Plan, err error) {
	if err := toml.Unmarshal(text, &p); err != nil {
		return p, fmt.Errorf("read plan: %w", err)
	}
	return p, p.Check()
}

// Check returns what is wrong with a plan, if anything.
func (p Plan) Check() error {
	switch {
	case p.Deployment != "association" && p.Deployment != "heating":
		return fmt.Errorf("deployment %q is neither association nor heating", p.Deployment)
	case p.Machines < 0 || p.Machines > maxMachines:
		return fmt.Errorf("%d machines: at most %d, or 0 for the deployment's own number", p.Machines, maxMachines)
	case p.Seconds <= 0 || p.Seconds > maxSeconds:
		return fmt.Errorf("%v seconds: must be above 0 and at most %d", p.Seconds, maxSeconds)
	case p.Clients < 1 || p.Clients > maxClients:
		return fmt.Errorf("%d clients a machine: must be 1 to %d", p.Clients, maxClients)
	case p.Last != "" && !slices.Contains(lastKinds, p.Last):
		return fmt.Errorf("last = %q is none of %v", p.Last, lastKinds)
	}
	for _, e := range p.Entries {
		if _, known := kinds[e.Kind]; !known {
			return fmt.Errorf("entry at %v: unknown kind %q", e.At, e.Kind)
		}
		if e.At < 0 || e.For < 0 || e.Count < 0 || e.Target < 0 {
			return fmt.Errorf("entry at %v: negative numbers", e.At)
		}
	}
	return nil
}

// Text is the plan as TOML, which ReadPlan reads.
func (p Plan) Text() string {
	b, err := toml.Marshal(p)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// size is the fleet that the plan is for.
func (p Plan) size() fleet.Size {
	s := fleet.Deployment(p.Deployment)
	if p.Machines > 0 {
		services := s.Backends[:3]
		s.Machines, s.Backends = p.Machines, fleet.RepeatServices(p.Machines, services...)
	}
	return s
}

// Draw draws a plan. One of four seeds has planned changes only, so that what is promised around
// them is judged; the others have faults of every kind too.
func Draw(deployment string, seed uint64, length time.Duration, machines int) Plan {
	rng := rand.New(rand.NewPCG(seed, 26))
	p := Plan{Deployment: deployment, Seed: seed, Machines: machines, Seconds: length.Seconds(), Clients: 2 + rng.IntN(3), AbandonRate: 0.15 * rng.Float64()}
	names := kindNames(seed%4 == 0)
	count := int(p.Seconds * (0.5 + rng.Float64()))
	for range max(3, count) {
		name := names[rng.IntN(len(names))]
		e := Entry{At: round(rng.Float64() * p.Seconds), Kind: name, Target: rng.IntN(1000), Count: 1}
		kinds[name].draw(rng, &e)
		p.Entries = append(p.Entries, e)
	}
	slices.SortStableFunc(p.Entries, func(a, b Entry) int { return int(1000 * (a.At - b.At)) })
	if seed%4 != 0 {
		p.Last = lastKinds[rng.IntN(len(lastKinds))]
	}
	return p
}

// round rounds seconds to hundredths, which keeps plans readable.
func round(seconds float64) float64 { return float64(int(seconds*100)) / 100 }

// kindNames lists the kinds that may be drawn, in order.
func kindNames(plannedOnly bool) (names []Kind) {
	for name, k := range kinds {
		if k.planned || !plannedOnly {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Only is the plan with only the entries whose kinds contain a text.
func (p Plan) Only(text string) Plan {
	p.Entries = slices.DeleteFunc(slices.Clone(p.Entries), func(e Entry) bool { return !strings.Contains(string(e.Kind), text) })
	return p
}
