// Package day runs a day of a deployment: its load, the brief's failures in
// seeded order, one last fault, and a verdict. (DESIGN 14.5)
package day

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

const (
	recoveryLimit = 15 * time.Second
	rolloutLimit  = 2 * time.Second
)

// ruleDay is of what the day judges itself: configurations, and the return of service.
const ruleDay ledger.Rule = "DAY"

// Day is one run.
type Day struct {
	Fleet *fleet.Fleet
	Out   io.Writer
	// Only, if set, leaves out all failures whose names lack it.
	Only string
	rng  *rand.Rand
	ctx  context.Context

	serial          int
	acknowledged    map[uint64][]byte
	newestRevision  uint64
	breaches        []ledger.Breach
	slowestRecovery time.Duration              // return of service after a fault
	slowestRollout  time.Duration              // slowest configuration in force
	recoveries      map[string][]time.Duration // return of service, by kind of request and of its word
	runningBackends map[*fakes.Backend]int     // running backends by machine
}

// New lays a day out over a fleet that is not started yet.
func New(f *fleet.Fleet, seed uint64, out io.Writer) *Day {
	return &Day{Fleet: f, Out: out, rng: rand.New(rand.NewPCG(seed, 11)), acknowledged: map[uint64][]byte{}, runningBackends: map[*fakes.Backend]int{}, recoveries: map[string][]time.Duration{}}
}

// Run runs it with so many events and returns what must never happen and did.
func (d *Day) Run(ctx context.Context, events int) (v ledger.Verdict, err error) {
	d.ctx = ctx
	if err := d.start(); err != nil {
		return v, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { d.Fleet.RunClients(load, d.Fleet.Clients()...) })
	if err := d.play(events); err != nil {
		return v, err
	}
	d.readBack()
	stop()
	wg.Wait()
	v = d.Fleet.Ledger.Judge()
	d.judgePeaks()
	v.Breaches = append(v.Breaches, d.breaches...)
	return v, nil
}

// start starts the fleet behind relays.
func (d *Day) start() error {
	if err := d.Fleet.InterposeProxies(); err != nil {
		return err
	}
	if err := d.Fleet.Start(d.ctx); err != nil {
		return err
	}
	d.newestRevision = d.Fleet.FirstRevision
	d.acknowledged[d.newestRevision] = d.Fleet.Configuration()
	for i, b := range d.Fleet.Backends {
		d.runningBackends[b] = i
	}
	return nil
}

// play has so many events happen and a last fault, each followed by the return of
// service.
func (d *Day) play(events int) error {
	all := d.allEvents()
	if d.Only != "" {
		all = slices.DeleteFunc(all, func(e event) bool { return !strings.Contains(e.name, d.Only) })
	}
	order := d.rng.Perm(len(all))
	for i := range events {
		ev := all[order[i%len(all)]]
		begin := time.Now()
		if err := ev.run(); err != nil {
			return fmt.Errorf("%s: %w", ev.name, err)
		}
		back := d.awaitRecovery(ev.name)
		d.logf("%-34s %6.1fs, service back after %v", ev.name, time.Since(begin).Seconds(), back.Round(time.Millisecond))
		if d.ctx.Err() != nil {
			return d.ctx.Err()
		}
	}
	last := all[order[events%len(all)]]
	d.logf("last fault: %s", last.name)
	if err := last.run(); err != nil {
		return err
	}
	d.awaitRecovery(last.name)
	return nil
}

// judgePeaks tells of backends that ran far more at a time than they can bear.
func (d *Day) judgePeaks() {
	for _, b := range d.Fleet.Backends {
		bear := float64(b.Capacity)
		if b.Warmth > 0 {
			bear *= b.Warmth
		}
		if float64(b.Peak.Load()) > 1.5*bear {
			d.breach("%s ran %d at a time and can bear %.1f", b.Instance, b.Peak.Load(), bear)
		}
	}
}

// Slowest is the slowest return of service, and the slowest configuration.
func (d *Day) Slowest() (service, configuration time.Duration) {
	return d.slowestRecovery, d.slowestRollout
}

func (d *Day) logf(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }

func (d *Day) breach(format string, args ...any) {
	d.breaches = append(d.breaches, ledger.Breach{Rule: ruleDay, Text: fmt.Sprintf(format, args...)})
}

// sleep lets load run for a while.
func (d *Day) sleep(t time.Duration) {
	tm := time.NewTimer(t)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-d.ctx.Done():
	}
}

// awaitRecovery waits until each kind of request succeeds from every machine,
// and the operator's word can be read from every core; it keeps how long each took.
func (d *Day) awaitRecovery(event string) time.Duration {
	w := &recoveryWait{day: d, event: event, begin: time.Now()}
	for i := range d.Fleet.Sidecars {
		for _, p := range d.Fleet.Size.Plans {
			if p.Share != 0 {
				w.untilServed(i, p)
			}
		}
	}
	for _, p := range d.Fleet.Replicas {
		w.until("reading the word", "at "+p.Name, func() bool {
			r, err := d.Fleet.Operate(d.ctx, p, http.MethodGet, "/v1/desired", nil)
			return err == nil && r.Status == http.StatusOK
		})
	}
	w.checks.Wait()
	took := time.Since(w.begin)
	d.slowestRecovery = max(d.slowestRecovery, took)
	if took > recoveryLimit {
		d.breach("%s: service returned only after %v", event, took)
	}
	return took
}

// Recoveries tells, for each kind, after how long it was back: of half of the times,
// of 99 in a hundred, and at most.
func (d *Day) Recoveries() (out []string) {
	for _, kind := range slices.Sorted(maps.Keys(d.recoveries)) {
		all := d.recoveries[kind]
		slices.Sort(all)
		at := func(share float64) time.Duration { return all[int(share*float64(len(all)-1))].Round(time.Millisecond) }
		out = append(out, fmt.Sprintf("%-18s back %4d times, half after %v, 99%% after %v, all after %v", kind, len(all), at(0.5), at(0.99), at(1)))
	}
	return out
}

// putConfiguration puts a configuration to any core; the day's own differ by a blank tail.
func (d *Day) putConfiguration() error {
	d.serial++
	body := append(d.Fleet.Configuration(), bytes.Repeat([]byte(" "), d.serial%50)...)
	return fleet.Await(d.ctx, "a configuration to be taken", func(ctx context.Context) bool {
		ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
		defer cancel()
		r, err := d.Fleet.Operate(ctx, d.Fleet.Replicas[d.rng.IntN(len(d.Fleet.Replicas))], http.MethodPut, "/v1/desired", body)
		if err != nil || r.Status != http.StatusOK {
			return false
		}
		d.acknowledge(r.Revision, body)
		return true
	})
}

func (d *Day) acknowledge(revision uint64, body []byte) {
	if old, ok := d.acknowledged[revision]; ok && !bytes.Equal(old, body) {
		d.breach("stamp %d was acknowledged for two configurations", revision)
	}
	d.acknowledged[revision] = body
	d.newestRevision = max(d.newestRevision, revision)
}

// awaitRollout waits until the newest configuration is in force on all sidecars.
func (d *Day) awaitRollout() error {
	begin := time.Now()
	for _, p := range d.Fleet.Sidecars {
		err := fleet.Await(d.ctx, p.Name+" to have the newest stamp", func(ctx context.Context) bool {
			s, err := d.Fleet.Revision(ctx, p)
			return err == nil && s >= d.newestRevision
		})
		if err != nil {
			return err
		}
	}
	took := time.Since(begin)
	if d.slowestRollout = max(d.slowestRollout, took); took > rolloutLimit {
		d.breach("stamp %d was in force only after %v", d.newestRevision, took)
	}
	return nil
}

// readBack reads the configuration as operators do at day's end.
func (d *Day) readBack() {
	for _, p := range d.Fleet.Replicas {
		var r fleet.Reply
		err := fleet.Await(d.ctx, "the day's reading back", func(ctx context.Context) (ok bool) {
			var err error
			r, err = d.Fleet.Operate(ctx, p, http.MethodGet, "/v1/desired", nil)
			return err == nil && r.Status == http.StatusOK
		})
		want, known := d.acknowledged[r.Revision]
		switch {
		case err != nil:
			d.breach("%s does not read back: %v", p.Name, err)
		case r.Revision < d.newestRevision:
			d.breach("%s reads back stamp %d, %d was acknowledged", p.Name, r.Revision, d.newestRevision)
		case known && !bytes.Equal(r.Body, want):
			d.breach("%s reads back other bytes than were sent under stamp %d", p.Name, r.Revision)
		}
	}
}
