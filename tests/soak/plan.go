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

// Plan lists the faults and planned changes of a run. Two runs of the same plan carry out the
// same entries, as far as the timing of the machine allows.
type Plan struct {
	Deployment string `toml:"deployment"`
	Seed       uint64 `toml:"seed"`
	// Machines is the number of sidecars. Zero selects the deployment's own number.
	Machines int `toml:"machines"`
	// Seconds is the length of the period in which entries begin.
	Seconds float64 `toml:"seconds"`
	// Clients is the number of clients on each machine.
	Clients int `toml:"clients"`
	// AbandonRate is the share of requests that clients abandon.
	AbandonRate float64 `toml:"leaves"`
	Entries     []Entry `toml:"entry"`
	// Last is the kind of the fault at the end of the run. It is empty if there is none.
	Last Kind `toml:"last"`
}

// Entry is one fault or one planned change.
type Entry struct {
	// At is the start, counted from the start of the run. For is the duration. Both are in seconds.
	At   float64 `toml:"at"`
	For  float64 `toml:"for"`
	Kind Kind    `toml:"kind"`
	// Target selects the first process, machine or zone: it is taken modulo their number. Count is
	// the number of targets, or of repetitions if the kind has a single target.
	Target int `toml:"target"`
	Count  int `toml:"count"`
	// Variant is one of the variants of the kind. It is empty if the kind has none.
	Variant string `toml:"how"`
}

// Limits of a plan.
const (
	maxMachines = 240
	maxSeconds  = 3600
	maxClients  = 50 // on each machine
)

// ReadPlan parses a plan in TOML and checks it.
func ReadPlan(text []byte) (p Plan, err error) {
	if err := toml.Unmarshal(text, &p); err != nil {
		return p, fmt.Errorf("parse plan: %w", err)
	}
	return p, p.Check()
}

// Check returns an error if the plan is invalid.
func (p Plan) Check() error {
	switch {
	case p.Deployment != "association" && p.Deployment != "heating":
		return fmt.Errorf("plan has deployment %q, must be association or heating", p.Deployment)
	case p.Machines < 0 || p.Machines > maxMachines:
		return fmt.Errorf("plan has %d machines, must be 1 to %d, or 0 for the deployment's own number", p.Machines, maxMachines)
	case p.Seconds <= 0 || p.Seconds > maxSeconds:
		return fmt.Errorf("plan lasts %v seconds, must be above 0 and at most %d", p.Seconds, maxSeconds)
	case p.Clients < 1 || p.Clients > maxClients:
		return fmt.Errorf("plan has %d clients per machine, must be 1 to %d", p.Clients, maxClients)
	case p.Last != "" && !slices.Contains(lastKinds, p.Last):
		return fmt.Errorf("plan has last fault %q, must be one of %v", p.Last, lastKinds)
	}
	for _, e := range p.Entries {
		if _, known := kinds[e.Kind]; !known {
			return fmt.Errorf("entry at %v s has unknown kind %q", e.At, e.Kind)
		}
		if e.At < 0 || e.For < 0 || e.Count < 0 || e.Target < 0 {
			return fmt.Errorf("entry at %v s has a negative number", e.At)
		}
	}
	return nil
}

// Text returns the plan in TOML, as ReadPlan parses it.
func (p Plan) Text() string {
	b, err := toml.Marshal(p)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// size returns the size of the fleet that the plan is played on.
func (p Plan) size() fleet.Size {
	s := fleet.Deployment(p.Deployment)
	if p.Machines > 0 {
		services := s.Backends[:3]
		s.Machines, s.Backends = p.Machines, fleet.RepeatServices(p.Machines, services...)
	}
	return s
}

// Draw draws a plan from a seed. The plans of one in four seeds have planned changes only, because
// some rules bind only while no unplanned fault occurs. The other plans have faults of every kind
// as well.
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

// round truncates seconds to hundredths to keep plans readable.
func round(seconds float64) float64 { return float64(int(seconds*100)) / 100 }

// kindNames returns the kinds that may be drawn in sorted order, so that a seed always draws the
// same plan.
func kindNames(plannedOnly bool) (names []Kind) {
	for name, k := range kinds {
		if k.planned || !plannedOnly {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Only returns a copy of the plan with only the entries whose kind contains text.
func (p Plan) Only(text string) Plan {
	p.Entries = slices.DeleteFunc(slices.Clone(p.Entries), func(e Entry) bool { return !strings.Contains(string(e.Kind), text) })
	return p
}
