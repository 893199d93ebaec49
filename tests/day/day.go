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

// Limits that the users require: the time until service recovers after a fault, and the time until
// a configuration is in force on all sidecars.
const (
	recoveryLimit = 15 * time.Second
	rolloutLimit  = 2 * time.Second
)

// putTimeout is the time limit of each attempt to put a configuration.
const putTimeout = 6 * time.Second

// maxOverload is the highest allowed ratio of the concurrent requests on a backend to its capacity.
const maxOverload = 1.5

// ruleDay is the rule of the breaches that the day detects itself, without the ledger: in
// configurations, recovery times, restarts, and the load of backends.
const ruleDay ledger.Rule = "DAY"

// Day is one simulated day of a fleet.
type Day struct {
	Fleet *fleet.Fleet
	Out   io.Writer
	// Only, if set, restricts the events to those whose names contain it.
	Only string
	rng  *rand.Rand
	ctx  context.Context

	serial          int               // last number given to a backend, replica, configuration or check
	acknowledged    map[uint64][]byte // acknowledged configurations by revision
	newestRevision  uint64
	breaches        []ledger.Breach
	slowestRecovery time.Duration
	slowestRollout  time.Duration
	recoveries      map[string][]time.Duration // recovery times by kind of request
	runningBackends map[*fakes.Backend]int     // running backends and their machines
}

// New prepares a day of a fleet. The fleet must not have been started.
func New(f *fleet.Fleet, seed uint64, out io.Writer) *Day {
	return &Day{Fleet: f, Out: out, rng: rand.New(rand.NewPCG(seed, 11)), acknowledged: map[uint64][]byte{}, runningBackends: map[*fakes.Backend]int{}, recoveries: map[string][]time.Duration{}}
}

// Run starts the fleet and its load, runs the given number of events and one last event, and returns
// the verdict.
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

// start starts the fleet with a proxy in front of each process.
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

// play runs the given number of events and one last event. After each event it waits until service
// has recovered.
func (d *Day) play(events int) error {
	all := d.allEvents()
	if d.Only != "" {
		all = slices.DeleteFunc(all, func(e event) bool { return !strings.Contains(e.name, d.Only) })
	}
	order := d.rng.Perm(len(all))
	for i := range events {
		ev := all[order[i%len(all)]]
		start := time.Now()
		if err := ev.run(); err != nil {
			return fmt.Errorf("%s: %w", ev.name, err)
		}
		recovery := d.awaitRecovery(ev.name)
		d.logf("%-34s %6.1fs, service recovered after %v", ev.name, time.Since(start).Seconds(), recovery.Round(time.Millisecond))
		if d.ctx.Err() != nil {
			return d.ctx.Err()
		}
	}
	last := all[order[events%len(all)]]
	d.logf("last event: %s", last.name)
	if err := last.run(); err != nil {
		return err
	}
	d.awaitRecovery(last.name)
	return nil
}

// judgePeaks records a breach for each backend whose peak of concurrent requests was far above its
// capacity.
func (d *Day) judgePeaks() {
	for _, b := range d.Fleet.Backends {
		capacity := float64(b.Capacity)
		if b.Warmth > 0 {
			capacity *= b.Warmth
		}
		if float64(b.Peak.Load()) > maxOverload*capacity {
			d.breach("%s ran %d requests concurrently, its capacity is %.1f", b.Instance, b.Peak.Load(), capacity)
		}
	}
}

// Slowest returns the longest recovery of service and the longest rollout of a configuration.
func (d *Day) Slowest() (service, configuration time.Duration) {
	return d.slowestRecovery, d.slowestRollout
}

// logf prints a line to Out.
func (d *Day) logf(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }

// breach records a breach of ruleDay.
func (d *Day) breach(format string, args ...any) {
	d.breaches = append(d.breaches, ledger.Breach{Rule: ruleDay, Text: fmt.Sprintf(format, args...)})
}

// sleep blocks for a duration or until the day is canceled.
func (d *Day) sleep(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.ctx.Done():
	}
}

// awaitRecovery waits until each kind of client request succeeds from every machine and the
// configuration can be read from every replica. It returns the time that this took.
func (d *Day) awaitRecovery(event string) time.Duration {
	w := &recoveryWait{day: d, event: event, begin: time.Now()}
	for i := range d.Fleet.Sidecars {
		for _, p := range d.Fleet.Size.Plans {
			if p.Share != 0 {
				w.startRequestCheck(i, p)
			}
		}
	}
	for _, p := range d.Fleet.Replicas {
		w.startCheck("reading the configuration", "at "+p.Name, func() bool {
			r, err := d.Fleet.Operate(d.ctx, p, http.MethodGet, "/v1/desired", nil)
			return err == nil && r.Status == http.StatusOK
		})
	}
	w.checks.Wait()
	recovery := time.Since(w.begin)
	d.slowestRecovery = max(d.slowestRecovery, recovery)
	if recovery > recoveryLimit {
		d.breach("%s: service recovered only after %v", event, recovery)
	}
	return recovery
}

// Recoveries returns one line of text for each kind of request with the median, the 99th percentile
// and the maximum of its recovery times.
func (d *Day) Recoveries() (out []string) {
	for _, kind := range slices.Sorted(maps.Keys(d.recoveries)) {
		all := d.recoveries[kind]
		slices.Sort(all)
		quantile := func(p float64) time.Duration { return all[int(p*float64(len(all)-1))].Round(time.Millisecond) }
		out = append(out, fmt.Sprintf("%-18s recovered %4d times, 50%% after %v, 99%% after %v, all after %v", kind, len(all), quantile(0.5), quantile(0.99), quantile(1)))
	}
	return out
}

// putConfiguration puts a configuration and retries until it is acknowledged. Each attempt goes to a
// random replica. The configurations of a day differ only in the number of trailing spaces.
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

// acknowledge records an acknowledged configuration. Two configurations with the same revision are a
// breach.
func (d *Day) acknowledge(revision uint64, body []byte) {
	if old, ok := d.acknowledged[revision]; ok && !bytes.Equal(old, body) {
		d.breach("revision %d was acknowledged for two different configurations", revision)
	}
	d.acknowledged[revision] = body
	d.newestRevision = max(d.newestRevision, revision)
}

// awaitRollout waits until the newest acknowledged configuration is in force on all sidecars. A
// rollout that exceeds rolloutLimit is a breach.
func (d *Day) awaitRollout() error {
	start := time.Now()
	for _, p := range d.Fleet.Sidecars {
		err := fleet.Await(d.ctx, p.Name+" to have the newest revision in force", func(ctx context.Context) bool {
			revision, err := d.Fleet.Revision(ctx, p)
			return err == nil && revision >= d.newestRevision
		})
		if err != nil {
			return err
		}
	}
	rollout := time.Since(start)
	if d.slowestRollout = max(d.slowestRollout, rollout); rollout > rolloutLimit {
		d.breach("revision %d was in force only after %v", d.newestRevision, rollout)
	}
	return nil
}

// readBack checks at the end of the day that each replica returns the newest acknowledged
// configuration, or a later one, with unchanged content.
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
			d.breach("%s did not return the configuration: %v", p.Name, err)
		case r.Revision < d.newestRevision:
			d.breach("%s returned revision %d, but %d was acknowledged", p.Name, r.Revision, d.newestRevision)
		case known && !bytes.Equal(r.Body, want):
			d.breach("%s returned a configuration that differs from the one acknowledged as revision %d", p.Name, r.Revision)
		}
	}
}
