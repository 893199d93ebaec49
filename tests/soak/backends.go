package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/ledger"
)

// startBackend starts a new backend on a machine and makes it the current one. If addr is empty,
// the backend gets an unused port. Two of three backends number their announcements.
func (r *Run) startBackend(m *machine, addr, service string) error {
	m.serial++
	f := r.Fleet
	if addr == "" {
		addr = fmt.Sprintf("%s:%d", f.Site.IP(m.number), 8000+m.serial)
	}
	b := &fakes.Backend{
		Instance: fmt.Sprintf("%s-%d-%d", service, m.number, m.serial), Service: service, Zone: f.Zone(m.number), Capacity: f.Size.Capacity,
		Control: f.Sidecars[m.number].Control, RequestPlans: f.Size.Plans, Ledger: f.Ledger, HTTP: f.HTTP, CountsAnnouncements: (m.serial+m.number)%3 != 0,
	}
	if err := b.Start(addr); err != nil {
		return err
	}
	r.mu.Lock()
	f.Backends = append(f.Backends, b)
	r.mu.Unlock()
	m.backend.Store(b)
	return nil
}

// startBackendRetrying starts a new backend. It retries until ctx is done, because the address may
// not have been released yet.
func (r *Run) startBackendRetrying(ctx context.Context, m *machine, addr, service string) {
	for ctx.Err() == nil {
		err := r.startBackend(m, addr, service)
		if err == nil {
			return
		}
		r.logf("machine %d: %v", m.number, err)
		sleep(ctx, addressReuseDelay)
	}
}

// departures counts the backends that left in order while their sidecars were stable, and those of
// them whose departure was not acknowledged. It is safe for concurrent use.
type departures struct {
	mu                     sync.Mutex
	judged, unacknowledged int
}

// record counts a departure if the sidecar of the backend was stable.
func (d *departures) record(acknowledged, stable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !stable {
		return
	}
	d.judged++
	if !acknowledged {
		d.unacknowledged++
	}
}

// The variants of a departure.
const (
	variantAnnounce     = "leaving"        // announces that the backend is leaving, deregisters later
	variantDeregister   = "gone"           // only deregisters; the backend continues to serve
	variantBoth         = "twice"          // announces the departure twice, then deregisters
	variantReuseAddress = "address-passes" // deregisters; the next backend uses the same address
)

// leaveVariants lists all variants of a departure.
var leaveVariants = []string{variantAnnounce, variantDeregister, variantBoth, variantReuseAddress}

// lockMachine locks the mu of the machine that is the target of an entry. The caller must unlock
// it. If it is already locked, lockMachine skips the entry and returns false.
func (r *Run) lockMachine(e Entry) (m *machine, ok bool) {
	m = r.machines[e.Target%len(r.machines)]
	if !m.mu.TryLock() {
		r.skip(e)
		return nil, false
	}
	return m, true
}

// leave makes a backend leave in order and starts the next backend. Announcements that were
// captured before the departure are delivered late, once or twice each. The next backend starts at
// another address at once, or at the same address when that may be reused.
func leave(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	m, ok := r.lockMachine(e)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	r.replaceInOrder(ctx, m, e, rng, func() {})
}

// replaceInOrder is leave for a locked machine. It calls acknowledged, if the departure is
// acknowledged, immediately after that.
func (r *Run) replaceInOrder(ctx context.Context, m *machine, e Entry, rng *rand.Rand, acknowledged func()) {
	b := m.backend.Load()
	late := make([]func(context.Context) error, 1+rng.IntN(3))
	for i := range late {
		late[i] = b.CaptureAnnouncement()
	}
	began := time.Now()
	known := r.announceLeaving(ctx, b, e)
	if known {
		acknowledged()
	} else {
		r.logf("departure of %s was not acknowledged", b.Instance)
	}
	announced := time.Now()
	r.departures.record(known, r.faults.machineStable(r.Fleet.Site.IP(m.number), began, began.Add(acknowledgeLimit)))
	var sending sync.WaitGroup
	for _, send := range late {
		after := time.Duration(rng.Int64N(int64(seconds(e.For)) + 1))
		for range 1 + rng.IntN(2) {
			sending.Go(func() { r.sendLateAnnouncement(ctx, b, after, send) })
		}
	}
	if e.Variant != variantReuseAddress {
		r.startBackendRetrying(ctx, m, "", b.Service)
	}
	sleep(ctx, time.Until(announced.Add(drainLimit+time.Duration(rng.Int64N(int64(4*time.Second))))))
	r.stopBackend(ctx, b, e)
	if e.Variant == variantReuseAddress {
		sleep(ctx, addressReuseDelay)
		r.startBackendRetrying(ctx, m, b.Addr(), b.Service)
	}
	sending.Wait()
}

// announceLeaving announces that a backend is leaving, or deregisters it, as the variant says. It
// retries until that is acknowledged or acknowledgeLimit is over, and reports whether it was
// acknowledged.
func (r *Run) announceLeaving(ctx context.Context, b *fakes.Backend, e Entry) (acknowledged bool) {
	deregister := e.Variant == variantDeregister || e.Variant == variantReuseAddress
	if deregister {
		b.StopAnnouncing()
	}
	for began := time.Now(); time.Since(began) < acknowledgeLimit && ctx.Err() == nil; sleep(ctx, 200*time.Millisecond) {
		call, cancel := context.WithTimeout(ctx, time.Second)
		err := b.AnnounceLeaving(call, deregister)
		cancel()
		if err != nil {
			continue
		}
		r.Fleet.Ledger.RecordLeaving(ledger.Leaving{Instance: b.Instance, At: time.Now()})
		if e.Variant == variantBoth {
			b.AnnounceLeaving(ctx, false)
			b.AnnounceLeaving(ctx, true)
		}
		return true
	}
	return false
}

// sendLateAnnouncement sends an announcement that was captured before a backend left, with a delay.
func (r *Run) sendLateAnnouncement(ctx context.Context, b *fakes.Backend, after time.Duration, send func(context.Context) error) {
	sleep(ctx, after)
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := send(call); err == nil {
		r.logf("%s: an announcement from before the departure was delivered after %v", b.Instance, after.Round(time.Millisecond))
	}
}

// backendDrainTimeout is how long a backend that ends waits for its running requests.
const backendDrainTimeout = 8 * time.Second

// stopBackend deregisters a backend and ends it when it has no running requests, or after
// backendDrainTimeout.
func (r *Run) stopBackend(ctx context.Context, b *fakes.Backend, e Entry) {
	if e.Variant == variantAnnounce {
		b.AnnounceLeaving(ctx, true)
	}
	b.StopAnnouncing()
	for began := time.Now(); b.Open() > 0 && time.Since(began) < backendDrainTimeout; {
		sleep(ctx, 20*time.Millisecond)
	}
	r.killBackend(b)
}

// killBackend ends a backend. If that interrupts running requests, it records a crash, so that they
// do not count as lost in a planned change.
func (r *Run) killBackend(b *fakes.Backend) {
	if b.Open() > 0 {
		defer r.faults.begin(Fault{Kind: kindCrash, Variant: "requests still running", Machines: nil})()
	}
	b.Kill()
}

// crash kills a backend and starts another one at a new address. In the variant variantReuseAddress
// the new backend starts at the same address and is of a service drawn at random. Finally, crash
// delivers an announcement that the killed backend had made.
func crash(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	m, ok := r.lockMachine(e)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	b := m.backend.Load()
	late := b.CaptureAnnouncement()
	ended := r.faults.begin(Fault{Kind: e.Kind, Variant: e.Variant, Machines: []string{r.Fleet.Site.IP(m.number)}})
	b.Kill()
	addr, service := "", b.Service
	if e.Variant == variantReuseAddress {
		addr = b.Addr()
		service = r.Fleet.Size.Backends[rng.IntN(len(r.Fleet.Size.Backends))]
	}
	sleep(ctx, addressReuseDelay+seconds(e.For))
	r.startBackendRetrying(ctx, m, addr, service)
	ended()
	r.sendLateAnnouncement(ctx, b, time.Second, late)
}

// slow makes the work of a backend take 4 to 15 times as long for the duration of the entry.
func slow(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	m := r.machines[e.Target%len(r.machines)]
	b := m.backend.Load()
	b.TemporarySlowFactor.Store(4 + rng.Int64N(12))
	sleep(ctx, seconds(e.For))
	b.TemporarySlowFactor.Store(0)
}

// garble makes a backend drop 2 to 21 percent of its answers, or send malformed ones in their
// place, for the duration of the entry.
func garble(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	m := r.machines[e.Target%len(r.machines)]
	b := m.backend.Load()
	defer r.faults.begin(Fault{Kind: e.Kind, Machines: []string{r.Fleet.Site.IP(m.number)}})()
	b.GarblePercent.Store(2 + rng.Int64N(20))
	sleep(ctx, seconds(e.For))
	b.GarblePercent.Store(0)
}
