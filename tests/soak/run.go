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

// Run plays one plan on one fleet.
type Run struct {
	Plan  Plan
	Fleet *fleet.Fleet
	// Out receives a line for each entry, event and breach.
	Out io.Writer

	began      time.Time
	faults     faultLog
	machines   []*machine
	operator   operator
	exchanges  exchanges
	departures departures
	breaches   breaches
	// controlPlaneFaults is a semaphore. Its capacity is the number of replicas that may have a
	// fault at the same time: fewer than half of them.
	controlPlaneFaults chan bool
	processLocks       map[*fleet.Program]*sync.Mutex
	zoneLocks          map[string]*sync.Mutex

	mu      sync.Mutex // guards skipped, Out, and the fleet's list of backends
	skipped int
}

// machine is a machine with a sidecar and the current backend.
type machine struct {
	mu      sync.Mutex // held while the backend is being replaced
	number  int
	serial  int // serial number of the current backend, from 1
	backend atomic.Pointer[fakes.Backend]
}

// stopSettings are the shutdown settings of the users' platform. Open requests end within the
// platform's grace time. A sidecar serves new requests until clients have learned that the sidecar
// is not ready. All processes get the first setting, and sidecars get the second one as well.
var stopSettings = []string{"--drain=5500ms", "--serve-on=1830ms"}

// New prepares a run. If out is nil, the lines of the run are discarded.
func New(p Plan, bin fleet.Binaries, out io.Writer) (*Run, error) {
	size := p.size()
	size.Plans = slices.Concat([]fakes.RequestPlan{reportPlan(size)}, size.Plans, []fakes.RequestPlan{markerPlan(size)})
	f, err := fleet.New(size, bin)
	if err != nil {
		return nil, err
	}
	if out == nil {
		out = io.Discard
	}
	r := &Run{Plan: p, Fleet: f, Out: out, processLocks: map[*fleet.Program]*sync.Mutex{}, zoneLocks: map[string]*sync.Mutex{}}
	r.controlPlaneFaults = make(chan bool, (size.Replicas-1)/2)
	for _, program := range f.Programs() {
		program.AddArgs(stopSettings[0])
		r.processLocks[program] = &sync.Mutex{}
	}
	for _, sidecar := range f.Sidecars {
		sidecar.AddArgs(stopSettings[1])
	}
	for _, zone := range size.Zones {
		r.zoneLocks[zone] = &sync.Mutex{}
	}
	return r, nil
}

// logf writes a line that begins with the seconds since the start of the run.
func (r *Run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.Out, "%8.2f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Play plays the plan, judges the run and closes the fleet. A Run must not be played twice.
func (r *Run) Play(ctx context.Context) (*Result, error) {
	defer r.Fleet.Close()
	if err := r.startFleet(ctx); err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	r.began = time.Now()
	load, stop := context.WithCancel(ctx)
	defer stop()
	var clients, entries sync.WaitGroup
	r.startClients(load, &clients)
	for i, e := range r.Plan.Entries {
		entries.Go(func() { r.playEntry(ctx, i, e) })
	}
	entries.Wait()
	sleep(ctx, time.Until(r.began.Add(time.Duration(r.Plan.Seconds*float64(time.Second)))))
	r.playLast(ctx)
	r.awaitRecovery(ctx)
	r.readBack(ctx)
	stop()
	clients.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.judge(), nil
}

// startFleet starts the fleet behind fault-injecting proxies and puts the first configuration. It
// starts the backends by startBackend, as it does their replacements later.
func (r *Run) startFleet(ctx context.Context) error {
	f := r.Fleet
	if err := f.InterposeProxies(); err != nil {
		return err
	}
	backends := f.Size.Backends
	f.Size.Backends = nil
	if err := f.Start(ctx); err != nil {
		return err
	}
	f.Size.Backends = backends
	for i := range f.Sidecars {
		m := &machine{number: i}
		r.machines = append(r.machines, m)
		if err := r.startBackend(m, "", backends[i]); err != nil {
			return err
		}
	}
	if err := f.AwaitServing(ctx, f.FirstRevision, len(backends)); err != nil {
		return err
	}
	return r.operator.putFirst(ctx, r)
}

// playEntry waits until the time of an entry and plays it. Each entry has a random source of its
// own, so that its draws do not depend on the other entries.
func (r *Run) playEntry(ctx context.Context, number int, e Entry) {
	sleep(ctx, time.Until(r.began.Add(time.Duration(e.At*float64(time.Second)))))
	if ctx.Err() != nil {
		return
	}
	r.logf("%s %s target %d count %d for %.2f s", e.Kind, e.Variant, e.Target, e.Count, e.For)
	rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(number)+100))
	kinds[e.Kind].play(ctx, r, e, rng)
}

// skip records that an entry is skipped because its target already has a fault.
func (r *Run) skip(e Entry) {
	r.mu.Lock()
	r.skipped++
	r.mu.Unlock()
	r.logf("%s target %d is skipped: the target already has a fault", e.Kind, e.Target)
}

// sleep blocks for d or until ctx is done. It returns at once if d is negative.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
