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

// standUp starts a new backend at a place, at an address or, if that is empty, a new one.
func (r *Run) standUp(p *place, addr, service string) error {
	p.serial++
	f := r.Fleet
	if addr == "" {
		addr = fmt.Sprintf("%s:%d", f.Site.IP(p.number), 8000+p.serial)
	}
	b := &fakes.Backend{
		Instance: fmt.Sprintf("%s-%d-%d", service, p.number, p.serial), Service: service, Zone: f.Zone(p.number), Capacity: f.Size.Capacity,
		Control: f.Sidecars[p.number].Control, Plans: f.Size.Plans, Ledger: f.Ledger, Client: f.Client, Counts: (p.serial+p.number)%3 != 0,
	}
	if err := b.Start(addr); err != nil {
		return err
	}
	r.mu.Lock()
	f.Backends = append(f.Backends, b)
	r.mu.Unlock()
	p.current.Store(b)
	return nil
}

// replace stands a new backend up, and waits with an address that was not given back yet.
func (r *Run) replace(ctx context.Context, p *place, addr, service string) {
	for ctx.Err() == nil {
		err := r.standUp(p, addr, service)
		if err == nil {
			return
		}
		r.say("machine %d: %v", p.number, err)
		wait(ctx, reuse)
	}
}

// leavers counts the backends that left in order, beside sidecars in touch, and those of them
// that had no acknowledgement.
type leavers struct {
	mu            sync.Mutex
	calm, unacked int
}

func (l *leavers) said(acknowledged, calm bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !calm {
		return
	}
	l.calm++
	if !acknowledged {
		l.unacked++
	}
}

// The ways in which a backend leaves.
const (
	howLeaving = "leaving"        // it announces that it leaves, and later that it has gone
	howGone    = "gone"           // it says that it has gone, and serves on
	howTwice   = "twice"          // it says both, each twice
	howAddress = "address-passes" // as gone; its address passes to the next one
)

var leavings = []string{howLeaving, howGone, howTwice, howAddress}

// take takes the place that an entry strikes, until its mu is unlocked; false if something is
// done there already.
func (r *Run) take(e Entry) (p *place, ok bool) {
	p = r.places[e.Target%len(r.places)]
	if !p.mu.TryLock() {
		r.skip(e)
		return nil, false
	}
	return p, true
}

// leave has a backend leave in order, with beats from before its word that come late. The
// next one stands up beside it, or takes its address once that may be given again.
func leave(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	p, ok := r.take(e)
	if !ok {
		return
	}
	defer p.mu.Unlock()
	b := p.current.Load()
	late := make([]func(context.Context) error, 1+rng.IntN(3))
	for i := range late {
		late[i] = b.Beat()
	}
	begun := time.Now()
	acknowledged := r.sayLeaving(ctx, b, e)
	if !acknowledged {
		r.say("%s had no acknowledgement", b.Instance)
	}
	said := time.Now()
	r.leavers.said(acknowledged, r.troubles.inTouch(r.Fleet.Site.IP(p.number), begun, begun.Add(ackWithin)))
	var beats sync.WaitGroup
	for _, send := range late {
		after := time.Duration(rng.Int64N(int64(seconds(e.For)) + 1))
		for range 1 + rng.IntN(2) {
			beats.Go(func() { r.lateBeat(ctx, b, after, send) })
		}
	}
	if e.How != howAddress {
		r.replace(ctx, p, "", b.Service)
	}
	wait(ctx, time.Until(said.Add(drain+time.Duration(rng.Int64N(int64(4*time.Second))))))
	r.endInOrder(ctx, b, e)
	if e.How == howAddress {
		wait(ctx, reuse)
		r.replace(ctx, p, b.Addr(), b.Service)
	}
	beats.Wait()
}

// sayLeaving says that a backend leaves until that is acknowledged, or for as long as
// backends wait for it.
func (r *Run) sayLeaving(ctx context.Context, b *fakes.Backend, e Entry) (acknowledged bool) {
	gone := e.How == howGone || e.How == howAddress
	if gone {
		b.Silence()
	}
	for begun := time.Now(); time.Since(begun) < ackWithin && ctx.Err() == nil; wait(ctx, 200*time.Millisecond) {
		call, cancel := context.WithTimeout(ctx, time.Second)
		err := b.Say(call, gone)
		cancel()
		if err != nil {
			continue
		}
		r.Fleet.Ledger.Left(ledger.Left{Instance: b.Instance, At: time.Now()})
		if e.How == howTwice {
			b.Say(ctx, false)
			b.Say(ctx, true)
		}
		return true
	}
	return false
}

// lateBeat sends a beat from before a backend said that it leaves.
func (r *Run) lateBeat(ctx context.Context, b *fakes.Backend, after time.Duration, send func(context.Context) error) {
	wait(ctx, after)
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := send(call); err == nil {
		r.say("%s: a beat from before its leaving came %v late", b.Instance, after.Round(time.Millisecond))
	}
}

// workOff is how long a backend that ends waits at most for what it works on.
const workOff = 8 * time.Second

// endInOrder says that a backend has gone and ends it once it works on nothing.
func (r *Run) endInOrder(ctx context.Context, b *fakes.Backend, e Entry) {
	if e.How == howLeaving {
		b.Say(ctx, true)
	}
	b.Silence()
	for begun := time.Now(); b.Open() > 0 && time.Since(begun) < workOff; {
		wait(ctx, 20*time.Millisecond)
	}
	r.end(b)
}

// end ends a backend; what it still works on is cut.
func (r *Run) end(b *fakes.Backend) {
	if b.Open() > 0 {
		defer r.troubles.begin(Trouble{Kind: kindCrash, How: "its work was not over", Machines: nil})()
	}
	b.Kill()
}

// crash has a backend end without a word; another stands up, at its address or a new one.
func crash(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	p, ok := r.take(e)
	if !ok {
		return
	}
	defer p.mu.Unlock()
	b := p.current.Load()
	late := b.Beat()
	ended := r.troubles.begin(Trouble{Kind: e.Kind, How: e.How, Machines: []string{r.Fleet.Site.IP(p.number)}})
	b.Kill()
	addr, service := "", b.Service
	if e.How == howAddress {
		addr = b.Addr()
		service = r.Fleet.Size.Backends[rng.IntN(len(r.Fleet.Size.Backends))]
	}
	wait(ctx, reuse+seconds(e.For))
	r.replace(ctx, p, addr, service)
	ended()
	r.lateBeat(ctx, b, time.Second, late)
}

// slow has a backend work many times as long for a while.
func slow(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	p := r.places[e.Target%len(r.places)]
	b := p.current.Load()
	b.Slowed.Store(4 + rng.Int64N(12))
	wait(ctx, seconds(e.For))
	b.Slowed.Store(0)
}

// garble has a backend lose answers, or send what is none, for a while.
func garble(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	p := r.places[e.Target%len(r.places)]
	b := p.current.Load()
	defer r.troubles.begin(Trouble{Kind: e.Kind, Machines: []string{r.Fleet.Site.IP(p.number)}})()
	b.Garble.Store(2 + rng.Int64N(20))
	wait(ctx, seconds(e.For))
	b.Garble.Store(0)
}
