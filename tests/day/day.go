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
	returnWithin = 15 * time.Second
	forceWithin  = 2 * time.Second
)

// ruleDay is of what the day judges itself: configurations, and the return of service.
const ruleDay ledger.Rule = "DAY"

// Day is one run.
type Day struct {
	F   *fleet.Fleet
	Out io.Writer
	// Only, if set, leaves out all failures whose names lack it.
	Only string
	rng  *rand.Rand
	ctx  context.Context

	serial   int
	acked    map[uint64][]byte
	newest   uint64
	broken   []ledger.Breach
	slowest  time.Duration              // return of service after a fault
	spread   time.Duration              // slowest configuration in force
	back     map[string][]time.Duration // return of service, by kind of request and of its word
	standing map[*fakes.Backend]int     // running backends by machine
}

// New lays a day out over a fleet that is not started yet.
func New(f *fleet.Fleet, seed uint64, out io.Writer) *Day {
	return &Day{F: f, Out: out, rng: rand.New(rand.NewPCG(seed, 11)), acked: map[uint64][]byte{}, standing: map[*fakes.Backend]int{}, back: map[string][]time.Duration{}}
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
	wg.Go(func() { d.F.Load(load, d.F.Callers()...) })
	if err := d.play(events); err != nil {
		return v, err
	}
	d.readBack()
	stop()
	wg.Wait()
	v = d.F.Ledger.Judge()
	d.judgePeaks()
	v.Broken = append(v.Broken, d.broken...)
	return v, nil
}

// start starts the fleet behind relays.
func (d *Day) start() error {
	if err := d.F.Relay(); err != nil {
		return err
	}
	if err := d.F.Start(d.ctx); err != nil {
		return err
	}
	d.newest = d.F.First
	d.acked[d.newest] = d.F.Configuration()
	for i, b := range d.F.Backends {
		d.standing[b] = i
	}
	return nil
}

// play has so many events happen and a last fault, each followed by the return of
// service.
func (d *Day) play(events int) error {
	all := d.all()
	if d.Only != "" {
		all = slices.DeleteFunc(all, func(e event) bool { return !strings.Contains(e.name, d.Only) })
	}
	order := d.rng.Perm(len(all))
	for i := range events {
		ev := all[order[i%len(all)]]
		begin := time.Now()
		if err := ev.do(); err != nil {
			return fmt.Errorf("%s: %w", ev.name, err)
		}
		back := d.serviceReturns(ev.name)
		d.say("%-34s %6.1fs, service back after %v", ev.name, time.Since(begin).Seconds(), back.Round(time.Millisecond))
		if d.ctx.Err() != nil {
			return d.ctx.Err()
		}
	}
	last := all[order[events%len(all)]]
	d.say("last fault: %s", last.name)
	if err := last.do(); err != nil {
		return err
	}
	d.serviceReturns(last.name)
	return nil
}

// judgePeaks tells of backends that ran far more at a time than they can bear.
func (d *Day) judgePeaks() {
	for _, b := range d.F.Backends {
		bear := float64(b.Capacity)
		if b.Share > 0 {
			bear *= b.Share
		}
		if float64(b.Peak.Load()) > 1.5*bear {
			d.wrong("%s ran %d at a time and can bear %.1f", b.Instance, b.Peak.Load(), bear)
		}
	}
}

// Slowest is the slowest return of service, and the slowest configuration.
func (d *Day) Slowest() (service, configuration time.Duration) { return d.slowest, d.spread }

func (d *Day) say(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }

func (d *Day) wrong(format string, args ...any) {
	d.broken = append(d.broken, ledger.Breach{Rule: ruleDay, Text: fmt.Sprintf(format, args...)})
}

// pause lets load run for a while.
func (d *Day) pause(t time.Duration) {
	tm := time.NewTimer(t)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-d.ctx.Done():
	}
}

// serviceReturns waits until each kind of request succeeds from every machine,
// and the operator's word can be read from every core; it keeps how long each took.
func (d *Day) serviceReturns(after string) time.Duration {
	w := &returnWait{day: d, after: after, begin: time.Now()}
	for i := range d.F.Sidecars {
		for _, p := range d.F.Size.Plans {
			if p.Share != 0 {
				w.untilServed(i, p)
			}
		}
	}
	for _, p := range d.F.Cores {
		w.until("reading the word", "at "+p.Name, func() bool {
			r, err := d.F.Operate(d.ctx, p, http.MethodGet, "/v1/desired", nil)
			return err == nil && r.Status == http.StatusOK
		})
	}
	w.all.Wait()
	took := time.Since(w.begin)
	d.slowest = max(d.slowest, took)
	if took > returnWithin {
		d.wrong("%s: service returned only after %v", after, took)
	}
	return took
}

// Returns tells, for each kind, after how long it was back: of half of the times,
// of 99 in a hundred, and at most.
func (d *Day) Returns() (out []string) {
	for _, kind := range slices.Sorted(maps.Keys(d.back)) {
		all := d.back[kind]
		slices.Sort(all)
		at := func(share float64) time.Duration { return all[int(share*float64(len(all)-1))].Round(time.Millisecond) }
		out = append(out, fmt.Sprintf("%-18s back %4d times, half after %v, 99%% after %v, all after %v", kind, len(all), at(0.5), at(0.99), at(1)))
	}
	return out
}

// put puts a configuration to any core; the day's own differ by a blank tail.
func (d *Day) put() error {
	d.serial++
	body := append(d.F.Configuration(), bytes.Repeat([]byte(" "), d.serial%50)...)
	return fleet.Await(d.ctx, "a configuration to be taken", func(ctx context.Context) bool {
		ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
		defer cancel()
		r, err := d.F.Operate(ctx, d.F.Cores[d.rng.IntN(len(d.F.Cores))], http.MethodPut, "/v1/desired", body)
		if err != nil || r.Status != http.StatusOK {
			return false
		}
		d.took(r.Stamp, body)
		return true
	})
}

func (d *Day) took(stamp uint64, body []byte) {
	if old, ok := d.acked[stamp]; ok && !bytes.Equal(old, body) {
		d.wrong("stamp %d was acknowledged for two configurations", stamp)
	}
	d.acked[stamp] = body
	d.newest = max(d.newest, stamp)
}

// inForce waits until the newest configuration is in force on all sidecars.
func (d *Day) inForce() error {
	begin := time.Now()
	for _, p := range d.F.Sidecars {
		err := fleet.Await(d.ctx, p.Name+" to have the newest stamp", func(ctx context.Context) bool {
			s, err := d.F.Stamp(ctx, p)
			return err == nil && s >= d.newest
		})
		if err != nil {
			return err
		}
	}
	took := time.Since(begin)
	if d.spread = max(d.spread, took); took > forceWithin {
		d.wrong("stamp %d was in force only after %v", d.newest, took)
	}
	return nil
}

// readBack reads the configuration as operators do at day's end.
func (d *Day) readBack() {
	for _, p := range d.F.Cores {
		var r fleet.Reply
		err := fleet.Await(d.ctx, "the day's reading back", func(ctx context.Context) (ok bool) {
			var err error
			r, err = d.F.Operate(ctx, p, http.MethodGet, "/v1/desired", nil)
			return err == nil && r.Status == http.StatusOK
		})
		want, known := d.acked[r.Stamp]
		switch {
		case err != nil:
			d.wrong("%s does not read back: %v", p.Name, err)
		case r.Stamp < d.newest:
			d.wrong("%s reads back stamp %d, %d was acknowledged", p.Name, r.Stamp, d.newest)
		case known && !bytes.Equal(r.Body, want):
			d.wrong("%s reads back other bytes than were sent under stamp %d", p.Name, r.Stamp)
		}
	}
}
