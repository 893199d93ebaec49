package keyreplication

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

const (
	holdWait = 150 * time.Millisecond // how long a holder may take (ours)
	rounds   = 3                      // how often others are tried in place of silent ones (ours)
	askEvery = 20 * time.Millisecond  // (ours)
	askWait  = 400 * time.Millisecond // (ours)
	// bearFor is how long a node that does not hand over keeps keyed requests
	// waiting; then one such is borne, since each claim has two holders.
	bearFor = 5 * time.Second // (ours)
	// settleIn is how long after a start the others take to see it and to entrust
	// anew what an earlier boot had held.
	settleIn = 1200 * time.Millisecond // (ours)
	// repairAtOnce is how many claims are entrusted anew side by side.
	repairAtOnce = 64 // (ours)
	// largest is the largest response that others keep.
	largest = 256 << 10 // (ours)
)

// Owner has a sidecar's claims held by others, and gets those of its earlier
// boots back from them.
type Owner struct {
	Own  string
	Boot uint64
	Zone string
	View func() *membership.View
	// Known tells whether the view means anything yet.
	Known    func() bool
	Net      *transport.Net
	Launcher *actor.Launcher
	// Restore is handed each claim of an earlier boot.
	Restore func(ctx context.Context, e Entry)

	next  atomic.Uint64
	ready atomic.Bool
	// settled tells that others have had the time to entrust anew what an earlier
	// boot held for them.
	settled atomic.Bool
	// trusts are looked at for a moment by each keyed request. (DESIGN 13)
	mu     sync.Mutex
	trusts *Trusts
	start  time.Time
	// silent are holders that did not answer, and until when they come last.
	silent atomic.Pointer[map[string]time.Time]
}

// Trust is a claim that others hold.
type Trust struct {
	Entry
	by []string
}

// Begin must come before anything else.
func (o *Owner) Begin() {
	o.start, o.trusts = time.Now(), NewTrusts(o.Own, o.Zone)
}

// with looks at the trusts.
func (o *Owner) with(do func(t *Trusts, now time.Duration)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do(o.trusts, time.Since(o.start))
}

// Ready tells whether the claims of earlier boots have been handed over.
func (o *Owner) Ready() bool { return o.ready.Load() }

// Settled tells whether the node may count as ready: the next may be stopped.
func (o *Owner) Settled() bool { return o.settled.Load() }

// Run gets the claims of earlier boots from every node that comes into view, for
// as long as claims are kept, and has claims whose holders have gone held by others.
func (o *Owner) Run(ctx context.Context) {
	var known time.Time
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	asked := map[string]uint64{} // boot that has handed over, by address
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !o.Known() {
			continue
		}
		if known.IsZero() {
			known = time.Now()
		}
		o.settled.Store(o.Ready() && time.Since(known) > settleIn)
		if o.Ready() {
			tick.Reset(membership.HeartbeatInterval)
		}
		if time.Since(known) < idempotency.HeldFor {
			o.gather(ctx, asked, time.Since(known))
		}
		o.repair(ctx)
	}
}

// gather asks the nodes that have not handed over yet.
func (o *Owner) gather(ctx context.Context, asked map[string]uint64, known time.Duration) {
	var left []membership.Node
	for _, n := range o.others() {
		if asked[n.Addr] != n.Incarnation {
			left = append(left, n)
		}
	}
	missing := 0
	for i, ok := range each(ctx, o, left, askWait, func(ctx context.Context, n membership.Node) bool { return o.handover(ctx, n) }) {
		if ok {
			asked[left[i].Addr] = left[i].Incarnation
		} else {
			missing++
		}
	}
	if missing == 0 || missing < Holders && known > bearFor {
		o.ready.Store(true)
	}
}

// repair entrusts anew what holders that have gone had held.
func (o *Owner) repair(ctx context.Context) {
	for begin := time.Now(); time.Since(begin) < membership.HeartbeatInterval/2; {
		var lacks []Lack
		o.with(func(t *Trusts, now time.Duration) { lacks = t.Lacking(o.answering(), repairAtOnce, now) })
		taken := each(ctx, o, lacks, holdWait, func(ctx context.Context, l Lack) bool {
			h, ok := o.hold(ctx, l.To, l.Entry)
			return ok && h.Taken
		})
		done := 0
		for i, ok := range taken {
			if ok {
				done++
				o.with(func(t *Trusts, now time.Duration) { t.Held(lacks[i].Entry, lacks[i].To, now) })
			}
		}
		if done == 0 {
			return
		}
	}
}

// handover gets what one node holds.
func (o *Owner) handover(ctx context.Context, n membership.Node) bool {
	var got Handed
	if !o.Net.Call(ctx, n.Addr, transport.Control, KindHandover, Handover{Owner: o.Own, Boot: o.Boot}).Into(&got) {
		return false
	}
	for _, e := range got.Entries {
		o.Restore(ctx, e)
		o.with(func(t *Trusts, now time.Duration) { t.Held(e, n, now) })
	}
	return true
}

// each does something with all at once and tells which succeeded.
func each[T any](ctx context.Context, o *Owner, all []T, wait time.Duration, do func(context.Context, T) bool) []bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	type result struct {
		i  int
		ok bool
	}
	back := make(chan result, len(all))
	for i, x := range all {
		o.Launcher.Go(ctx, "custody", func(ctx context.Context) { back <- result{i, do(ctx, x)} })
	}
	out := make([]bool, len(all))
	for range all {
		r := <-back
		out[r.i] = r.ok
	}
	return out
}

func (o *Owner) others() []membership.Node { return Others(o.View(), o.Own) }

// Entrust has a new claim held by two others, or by all if there are fewer. If
// an earlier boot had laid it, known is that claim; ok is false if it could not
// be entrusted: then the request must not run.
func (o *Owner) Entrust(ctx context.Context, key idempotency.Key, print idempotency.Print, left time.Duration) (t Trust, known *Entry, ok bool) {
	t.Entry = Entry{Owner: o.Own, Boot: o.Boot, N: o.next.Add(1), Key: key, Print: print, For: left + idempotency.HeldFor}
	others := o.others()
	want := min(Holders, len(others))
	if want == 0 {
		return t, nil, true
	}
	ranked := Choose(o.Own, o.Zone, key, others)
	slices.SortStableFunc(ranked, func(a, b membership.Node) int { return o.silence(a) - o.silence(b) })
	held := make(chan Held, len(ranked))
	for range rounds {
		try := ranked[:min(want-len(t.by), len(ranked))]
		ranked = ranked[len(try):]
		for i, ok := range each(ctx, o, try, holdWait, func(ctx context.Context, n membership.Node) bool {
			h, ok := o.hold(ctx, n, t.Entry)
			if ok {
				held <- h
			}
			return ok && h.Taken
		}) {
			if ok {
				t.by = append(t.by, try[i].Addr)
				o.with(func(all *Trusts, now time.Duration) { all.Held(t.Entry, try[i], now) })
			}
		}
		for len(held) > 0 {
			if h := <-held; h.Known != nil {
				return t, h.Known, false
			}
		}
		if len(t.by) == want {
			return t, nil, true
		}
	}
	return t, nil, false
}

// hold asks a node to hold a claim; one that does not answer comes last for a while.
func (o *Owner) hold(ctx context.Context, n membership.Node, e Entry) (h Held, ok bool) {
	if ok = o.Net.Call(ctx, n.Addr, transport.Control, KindHold, e).Into(&h); !ok {
		o.shun(n.Addr)
	}
	return h, ok
}

// silence is 1 for a node that did not answer just now.
func (o *Owner) silence(n membership.Node) int {
	if silent := o.silent.Load(); silent != nil && time.Now().Before((*silent)[n.Addr]) {
		return 1
	}
	return 0
}

// answering lists the other nodes that have not just been silent.
func (o *Owner) answering() []membership.Node {
	return slices.DeleteFunc(o.others(), func(n membership.Node) bool { return o.silence(n) > 0 })
}

// shun lets a holder that did not answer come last for a while.
func (o *Owner) shun(addr string) {
	for {
		old := o.silent.Load()
		next := map[string]time.Time{addr: time.Now().Add(time.Second)}
		if old != nil {
			for a, until := range *old {
				if _, ok := next[a]; !ok && time.Now().Before(until) {
					next[a] = until
				}
			}
		}
		if o.silent.CompareAndSwap(old, &next) {
			return
		}
	}
}

// Settle tells the holders what was answered; without a response the request did
// not run and the claim is given up. Nobody waits for it.
func (o *Owner) Settle(ctx context.Context, t Trust, response []byte) {
	kind := KindRelease
	switch {
	case response == nil:
		o.with(func(all *Trusts, _ time.Duration) { all.Drop(t.Entry) })
	case len(response) > largest:
		return // the claim stands without it
	default:
		kind, t.Response, t.For = KindHold, response, idempotency.HeldFor
		o.with(func(all *Trusts, now time.Duration) { all.Settle(t.Entry, now) })
	}
	for _, addr := range t.by {
		o.Launcher.Go(context.WithoutCancel(ctx), "custody", func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			o.Net.Call(ctx, addr, transport.Control, kind, t.Entry)
		})
	}
}
