package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// Run is one run of a plan.
type Run struct {
	Plan  Plan
	Fleet *fleet.Fleet
	// Out is told what happens; nil for nothing.
	Out io.Writer

	begun    time.Time
	troubles troubles
	places   []*place
	operator operator
	requests requests
	leavers  leavers
	// core bounds how many of the core are in trouble at a time.
	core    chan bool
	control map[*fleet.Program]*sync.Mutex
	zones   map[string]*sync.Mutex
	found   breaches
	skipped int
	mu      sync.Mutex
}

// place is a machine with its sidecar and the backend that stands there now.
type place struct {
	mu      sync.Mutex // held by whoever changes the backend
	number  int
	serial  int
	current atomic.Pointer[fakes.Backend]
}

// stopAfter are the settings of a stop, as on the users' platform: what is open ends within
// the grace time, and clients are served on until they learn that the sidecar is not ready.
var stopAfter = []string{"--drain=5500ms", "--serve-on=1830ms"}

// New lays a run out.
func New(p Plan, bin fleet.Binaries, out io.Writer) (*Run, error) {
	size := p.size()
	size.Plans = slices.Concat([]fakes.Plan{reportPlan(size)}, size.Plans, []fakes.Plan{markPlan(size)})
	f, err := fleet.New(size, bin)
	if err != nil {
		return nil, err
	}
	if out == nil {
		out = io.Discard
	}
	r := &Run{Plan: p, Fleet: f, Out: out, control: map[*fleet.Program]*sync.Mutex{}, zones: map[string]*sync.Mutex{}}
	r.core = make(chan bool, (size.Cores-1)/2)
	for _, program := range f.Programs() {
		program.Args(stopAfter[0])
		r.control[program] = &sync.Mutex{}
	}
	for _, sidecar := range f.Sidecars {
		sidecar.Args(stopAfter[1])
	}
	for _, zone := range size.Zones {
		r.zones[zone] = &sync.Mutex{}
	}
	return r, nil
}

// say tells what happens, with the time since the run began.
func (r *Run) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.Out, "%8.2f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Do plays the plan and judges it.
func (r *Run) Do(ctx context.Context) (*Result, error) {
	defer r.Fleet.Close()
	if err := r.start(ctx); err != nil {
		return nil, fmt.Errorf("the fleet did not start: %w", err)
	}
	r.begun = time.Now()
	load, stop := context.WithCancel(ctx)
	defer stop()
	var clients, entries sync.WaitGroup
	r.clients(load, &clients)
	for i, e := range r.Plan.Entries {
		entries.Go(func() { r.entry(ctx, i, e) })
	}
	entries.Wait()
	wait(ctx, time.Until(r.begun.Add(time.Duration(r.Plan.Seconds*float64(time.Second)))))
	r.last(ctx)
	r.awaitService(ctx)
	r.readBack(ctx)
	stop()
	clients.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.judge(), nil
}

// start starts the fleet behind relays.
func (r *Run) start(ctx context.Context) error {
	f := r.Fleet
	if err := f.Relay(); err != nil {
		return err
	}
	backends := f.Size.Backends
	f.Size.Backends = nil
	if err := f.Start(ctx); err != nil {
		return err
	}
	f.Size.Backends = backends
	for i := range f.Sidecars {
		p := &place{number: i}
		r.places = append(r.places, p)
		if err := r.standUp(p, "", backends[i]); err != nil {
			return err
		}
	}
	if err := f.AwaitServing(ctx, f.First, len(backends)); err != nil {
		return err
	}
	return r.operator.begin(ctx, r)
}

// entry plays one entry at its time.
func (r *Run) entry(ctx context.Context, number int, e Entry) {
	wait(ctx, time.Until(r.begun.Add(time.Duration(e.At*float64(time.Second)))))
	if ctx.Err() != nil {
		return
	}
	r.say("%s %s target %d count %d for %.2f s", e.Kind, e.How, e.Target, e.Count, e.For)
	rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(number)+100))
	kinds[e.Kind].do(ctx, r, e, rng)
}

// skip notes that an entry found what it would strike in trouble already.
func (r *Run) skip(e Entry) {
	r.mu.Lock()
	r.skipped++
	r.mu.Unlock()
	r.say("%s target %d is skipped: it is in trouble already", e.Kind, e.Target)
}

// wait waits, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// seconds is a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
