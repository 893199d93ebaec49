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

// startBackend starts a new backend on a machine, at an address or, if that is empty, a new one.
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

// startBackendRetrying starts a new backend, and retries while its address has not been released.
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

// departures counts the backends that left in order while their sidecars were in touch, and
// those of them whose announcement was never acknowledged.
type departures struct {
	mu                     sync.Mutex
	judged, unacknowledged int
}

// record records a departure; calm is whether the sidecar was in touch.
func (d *departures) record(acknowledged, calm bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !calm {
		return
	}
	d.judged++
	if !acknowledged {
		d.unacknowledged++
	}
}

// The variants of a departure.
const (
	variantAnnounce     = "leaving"        // it announces that it is leaving, and deregisters later
	variantDeregister   = "gone"           // it only deregisters, and goes on serving
	variantBoth         = "twice"          // it does both, each twice
	variantReuseAddress = "address-passes" // it deregisters, and its address is used by the next one
)

// leaveVariants are all of them.
var leaveVariants = []string{variantAnnounce, variantDeregister, variantBoth, variantReuseAddress}

// lockMachine locks the machine that an entry is for, until its mu is unlocked; false if something
// is being done there already.
func (r *Run) lockMachine(e Entry) (m *machine, ok bool) {
	m = r.machines[e.Target%len(r.machines)]
	if !m.mu.TryLock() {
		r.skip(e)
		return nil, false
	}
	return m, true
}

// leave has a backend leave in order, with announcements from before that come late. The next
// backend starts beside it, or at its address once that may be used again.
func leave(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	m, ok := r.lockMachine(e)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	b := m.backend.Load()
	late := make([]func(context.Context) error, 1+rng.IntN(3))
	for i := range late {
		late[i] = b.CaptureAnnouncement()
	}
	began := time.Now()
	acknowledged := r.announceLeaving(ctx, b, e)
	if !acknowledged {
		r.logf("%s had no acknowledgement", b.Instance)
	}
	announced := time.Now()
	r.departures.record(acknowledged, r.faults.inTouch(r.Fleet.Site.IP(m.number), began, began.Add(acknowledgeLimit)))
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

// announceLeaving announces that a backend is leaving until that is acknowledged, or for as long
// as backends wait for it.
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

// sendLateAnnouncement sends an announcement from before a backend left.
func (r *Run) sendLateAnnouncement(ctx context.Context, b *fakes.Backend, after time.Duration, send func(context.Context) error) {
	sleep(ctx, after)
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := send(call); err == nil {
		r.logf("%s: an announcement from before its departure came %v late", b.Instance, after.Round(time.Millisecond))
	}
}

// maxWorkOff is how long a backend that ends waits for what it is running.
const maxWorkOff = 8 * time.Second

// stopBackend deregisters a backend, and ends it once it runs nothing.
func (r *Run) stopBackend(ctx context.Context, b *fakes.Backend, e Entry) {
	if e.Variant == variantAnnounce {
		b.AnnounceLeaving(ctx, true)
	}
	b.StopAnnouncing()
	for began := time.Now(); b.Open() > 0 && time.Since(began) < maxWorkOff; {
		sleep(ctx, 20*time.Millisecond)
	}
	r.killBackend(b)
}

// killBackend ends a backend; what it is still running is interrupted.
func (r *Run) killBackend(b *fakes.Backend) {
	if b.Open() > 0 {
		defer r.faults.begin(Fault{Kind: kindCrash, Variant: "its work was not over", Machines: nil})()
	}
	b.Kill()
}

// crash kills a backend; another one starts, at its address or a new one.
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

// slow has a backend work many times as long for a while.
func slow(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	m := r.machines[e.Target%len(r.machines)]
	b := m.backend.Load()
	b.TemporarySlowFactor.Store(4 + rng.Int64N(12))
	sleep(ctx, seconds(e.For))
	b.TemporarySlowFactor.Store(0)
}

// garble has a backend lose answers, or send malformed ones, for a while.
func garble(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	m := r.machines[e.Target%len(r.machines)]
	b := m.backend.Load()
	defer r.faults.begin(Fault{Kind: e.Kind, Machines: []string{r.Fleet.Site.IP(m.number)}})()
	b.GarblePercent.Store(2 + rng.Int64N(20))
	sleep(ctx, seconds(e.For))
	b.GarblePercent.Store(0)
}
