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

// The users' limits for the return of service after a fault, and for a configuration to be in
// force.
const (
	recoveryLimit = 15 * time.Second
	rolloutLimit  = 2 * time.Second
)

// putTimeout bounds each attempt to put a configuration.
const putTimeout = 6 * time.Second

// overrun is how many times its capacity a backend may run at most.
const overrun = 1.5

// ruleDay is the rule of what the day judges by itself: configurations, and the return of
// service.
const ruleDay ledger.Rule = "DAY"

// Day is one run.
type Day struct {
	Fleet *fleet.Fleet
	Out   io.Writer
	// Only, if set, restricts the failures to those whose names contain it.
	Only string
	rng  *rand.Rand
	ctx  context.Context

	serial          int               // of backends, configurations and checks
	acknowledged    map[uint64][]byte // configurations by revision
	newestRevision  uint64
	breaches        []ledger.Breach
	slowestRecovery time.Duration
	slowestRollout  time.Duration
	recoveries      map[string][]time.Duration // by kind of request
	runningBackends map[*fakes.Backend]int     // by machine
}

// New prepares a day of a fleet that is not started yet.
func New(f *fleet.Fleet, seed uint64, out io.Writer) *Day {
	return &Day{Fleet: f, Out: out, rng: rand.New(rand.NewPCG(seed, 11)), acknowledged: map[uint64][]byte{}, runningBackends: map[*fakes.Backend]int{}, recoveries: map[string][]time.Duration{}}
}

// Run plays so many events and a last one, and returns the verdict.
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

// start starts the fleet behind proxies.
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

// play plays so many events and a last one, and waits after each for the return of service.
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

// judgePeaks reports backends that ran far more at a time than they can bear.
func (d *Day) judgePeaks() {
	for _, b := range d.Fleet.Backends {
		capacity := float64(b.Capacity)
		if b.Warmth > 0 {
			capacity *= b.Warmth
		}
		if float64(b.Peak.Load()) > overrun*capacity {
			d.breach("%s ran %d at a time and can bear %.1f", b.Instance, b.Peak.Load(), capacity)
		}
	}
}

// Slowest returns the slowest return of service and the slowest rollout of a configuration.
func (d *Day) Slowest() (service, configuration time.Duration) {
	return d.slowestRecovery, d.slowestRollout
}

// logf prints a line.
func (d *Day) logf(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }

// breach records a broken rule.
func (d *Day) breach(format string, args ...any) {
	d.breaches = append(d.breaches, ledger.Breach{Rule: ruleDay, Text: fmt.Sprintf(format, args...)})
}

// sleep waits for a while, or until the day is canceled.
func (d *Day) sleep(t time.Duration) {
	tm := time.NewTimer(t)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-d.ctx.Done():
	}
}

// awaitRecovery waits until each kind of request succeeds from every machine, and the configuration can be
// read from every replica. It returns how long that took.
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
		w.until("reading the configuration", "at "+p.Name, func() bool {
			r, err := d.Fleet.Operate(d.ctx, p, http.MethodGet, "/v1/desired", nil)
			return err == nil && r.Status == http.StatusOK
		})
	}
	w.checks.Wait()
	recovery := time.Since(w.begin)
	d.slowestRecovery = max(d.slowestRecovery, recovery)
	if recovery > recoveryLimit {
		d.breach("%s: service returned only after %v", event, recovery)
	}
	return recovery
}

// Recoveries describes, for each kind of request, after how long it was served again: the median, the 99th
// percentile and the maximum.
func (d *Day) Recoveries() (out []string) {
	for _, kind := range slices.Sorted(maps.Keys(d.recoveries)) {
		all := d.recoveries[kind]
		slices.Sort(all)
		at := func(share float64) time.Duration { return all[int(share*float64(len(all)-1))].Round(time.Millisecond) }
		out = append(out, fmt.Sprintf("%-18s back %4d times, 50%% after %v, 99%% after %v, all after %v", kind, len(all), at(0.5), at(0.99), at(1)))
	}
	return out
}

// putConfiguration puts a configuration at any replica; the day's configurations differ in trailing blanks.
func (d *Day) putConfiguration() error {
	d.serial++
	body := append(d.Fleet.Configuration(), bytes.Repeat([]byte(" "), d.serial%50)...)
	return fleet.Await(d.ctx, "a configuration to be acknowledged", func(ctx context.Context) bool {
		ctx, cancel := context.WithTimeout(ctx, putTimeout)
		defer cancel()
		r, err := d.Fleet.Operate(ctx, d.Fleet.Replicas[d.rng.IntN(len(d.Fleet.Replicas))], http.MethodPut, "/v1/desired", body)
		if err != nil || r.Status != http.StatusOK {
			return false
		}
		d.acknowledge(r.Revision, body)
		return true
	})
}

// acknowledge records an acknowledged configuration.
func (d *Day) acknowledge(revision uint64, body []byte) {
	if old, ok := d.acknowledged[revision]; ok && !bytes.Equal(old, body) {
		d.breach("revision %d was acknowledged for two configurations", revision)
	}
	d.acknowledged[revision] = body
	d.newestRevision = max(d.newestRevision, revision)
}

// awaitRollout waits until the newest configuration is in force on all sidecars.
func (d *Day) awaitRollout() error {
	begin := time.Now()
	for _, p := range d.Fleet.Sidecars {
		err := fleet.Await(d.ctx, p.Name+" to have the newest revision", func(ctx context.Context) bool {
			s, err := d.Fleet.Revision(ctx, p)
			return err == nil && s >= d.newestRevision
		})
		if err != nil {
			return err
		}
	}
	rollout := time.Since(begin)
	if d.slowestRollout = max(d.slowestRollout, rollout); rollout > rolloutLimit {
		d.breach("revision %d was in force only after %v", d.newestRevision, rollout)
	}
	return nil
}

// readBack reads the configuration from each replica at the end of the day.
func (d *Day) readBack() {
	for _, p := range d.Fleet.Replicas {
		var r fleet.Reply
		err := fleet.Await(d.ctx, "the configuration to be read back", func(ctx context.Context) (ok bool) {
			var err error
			r, err = d.Fleet.Operate(ctx, p, http.MethodGet, "/v1/desired", nil)
			return err == nil && r.Status == http.StatusOK
		})
		want, known := d.acknowledged[r.Revision]
		switch {
		case err != nil:
			d.breach("%s does not read back: %v", p.Name, err)
		case r.Revision < d.newestRevision:
			d.breach("%s reads back revision %d, %d was acknowledged", p.Name, r.Revision, d.newestRevision)
		case known && !bytes.Equal(r.Body, want):
			d.breach("%s reads back other bytes than were sent as revision %d", p.Name, r.Revision)
		}
	}
}
