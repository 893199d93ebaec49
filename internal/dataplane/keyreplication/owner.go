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
	storeTimeout        = 150 * time.Millisecond // how long a holder may take (ours)
	replicationAttempts = 3                      // how often others are tried in place of silent ones (ours)
	handoverInterval    = 20 * time.Millisecond  // (ours)
	handoverTimeout     = 400 * time.Millisecond // (ours)
	// handoverGrace is how long a node that does not hand over keeps keyed requests
	// waiting; then one such is borne, since each claim has two holders.
	handoverGrace = 5 * time.Second // (ours)
	// repairGrace is how long after a start the others take to see it and to entrust
	// anew what an earlier boot had held.
	repairGrace = 1200 * time.Millisecond // (ours)
	// repairBatch is how many claims are entrusted anew side by side.
	repairBatch = 64 // (ours)
	// maxReplicatedResponse is the largest response that others keep.
	maxReplicatedResponse = 256 << 10 // (ours)
)

// Owner has a sidecar's claims held by others, and gets those of its earlier
// boots back from them.
type Owner struct {
	Addr        string
	Incarnation uint64
	Zone        string
	View        func() *membership.View
	// ViewReady tells whether the view means anything yet.
	ViewReady func() bool
	Client    *transport.Client
	Actors    *actor.System
	// Restore is handed each claim of an earlier boot.
	Restore func(ctx context.Context, record Record)

	sequence  atomic.Uint64
	recovered atomic.Bool
	// repairComplete tells that others have had the time to entrust anew what an earlier
	// boot held for them.
	repairComplete atomic.Bool
	// trusts are looked at for a moment by each keyed request. (DESIGN 13)
	mu      sync.Mutex
	tracker *ReplicationTracker
	start   time.Time
	// unresponsive are holders that did not answer, and until when they come last.
	unresponsive atomic.Pointer[map[string]time.Time]
}

// Reservation is a claim that others hold.
type Reservation struct {
	Record
	replicas []string
}

// Init must come before anything else.
func (o *Owner) Init() {
	o.start, o.tracker = time.Now(), NewReplicationTracker(o.Addr, o.Zone)
}

// withTracker looks at the trusts.
func (o *Owner) withTracker(do func(tracker *ReplicationTracker, now time.Duration)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do(o.tracker, time.Since(o.start))
}

// Recovered tells whether the claims of earlier boots have been handed over.
func (o *Owner) Recovered() bool { return o.recovered.Load() }

// RepairComplete tells whether the node may count as ready: the next may be stopped.
func (o *Owner) RepairComplete() bool { return o.repairComplete.Load() }

// Run gets the claims of earlier boots from every node that comes into view, for
// as long as claims are kept, and has claims whose holders have gone held by others.
func (o *Owner) Run(ctx context.Context) {
	var viewReadySince time.Time
	tick := time.NewTicker(handoverInterval)
	defer tick.Stop()
	answered := map[string]uint64{} // boot that has handed over, by address
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !o.ViewReady() {
			continue
		}
		if viewReadySince.IsZero() {
			viewReadySince = time.Now()
		}
		o.repairComplete.Store(o.Recovered() && time.Since(viewReadySince) > repairGrace)
		if o.Recovered() {
			tick.Reset(membership.HeartbeatInterval)
		}
		if time.Since(viewReadySince) < idempotency.Retention {
			o.requestHandovers(ctx, answered, time.Since(viewReadySince))
		}
		o.repair(ctx)
	}
}

// requestHandovers asks the nodes that have not handed over yet.
func (o *Owner) requestHandovers(ctx context.Context, answered map[string]uint64, viewReadyFor time.Duration) {
	var pending []membership.Node
	for _, n := range o.peers() {
		if answered[n.Addr] != n.Incarnation {
			pending = append(pending, n)
		}
	}
	missing := 0
	for i, ok := range runConcurrently(ctx, o, pending, handoverTimeout, func(ctx context.Context, n membership.Node) bool { return o.requestHandover(ctx, n) }) {
		if ok {
			answered[pending[i].Addr] = pending[i].Incarnation
		} else {
			missing++
		}
	}
	if missing == 0 || missing < ReplicationFactor && viewReadyFor > handoverGrace {
		o.recovered.Store(true)
	}
}

// repair entrusts anew what holders that have gone had held.
func (o *Owner) repair(ctx context.Context) {
	for begin := time.Now(); time.Since(begin) < membership.HeartbeatInterval/2; {
		var gaps []MissingReplica
		o.withTracker(func(t *ReplicationTracker, now time.Duration) {
			gaps = t.MissingReplicas(o.responsivePeers(), repairBatch, now)
		})
		stored := runConcurrently(ctx, o, gaps, storeTimeout, func(ctx context.Context, gap MissingReplica) bool {
			reply, ok := o.store(ctx, gap.Target, gap.Record)
			return ok && reply.Accepted
		})
		done := 0
		for i, ok := range stored {
			if ok {
				done++
				o.withTracker(func(t *ReplicationTracker, now time.Duration) { t.AddReplica(gaps[i].Record, gaps[i].Target, now) })
			}
		}
		if done == 0 {
			return
		}
	}
}

// requestHandover gets what one node holds.
func (o *Owner) requestHandover(ctx context.Context, n membership.Node) bool {
	var reply HandoverReply
	if !o.Client.Call(ctx, n.Addr, transport.ControlTraffic, KindHandover, HandoverRequest{Owner: o.Addr, Incarnation: o.Incarnation}).Decode(&reply) {
		return false
	}
	for _, record := range reply.Records {
		o.Restore(ctx, record)
		o.withTracker(func(t *ReplicationTracker, now time.Duration) { t.AddReplica(record, n, now) })
	}
	return true
}

// runConcurrently does something with all at once and tells which succeeded.
func runConcurrently[T any](ctx context.Context, o *Owner, items []T, timeout time.Duration, do func(context.Context, T) bool) []bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type result struct {
		i  int
		ok bool
	}
	results := make(chan result, len(items))
	for index, item := range items {
		o.Actors.Go(ctx, "custody", func(ctx context.Context) { results <- result{index, do(ctx, item)} })
	}
	out := make([]bool, len(items))
	for range items {
		r := <-results
		out[r.i] = r.ok
	}
	return out
}

func (o *Owner) peers() []membership.Node { return Peers(o.View(), o.Addr) }

// Replicate has a new claim held by two others, or by all if there are fewer. If
// an earlier boot had laid it, known is that claim; ok is false if it could not
// be entrusted: then the request must not run.
func (o *Owner) Replicate(ctx context.Context, key idempotency.Key, fingerprint idempotency.Fingerprint, remaining time.Duration) (reservation Reservation, existing *Record, ok bool) {
	reservation.Record = Record{Owner: o.Addr, Incarnation: o.Incarnation, Sequence: o.sequence.Add(1), Key: key, Fingerprint: fingerprint, TTL: remaining + idempotency.Retention}
	peers := o.peers()
	want := min(ReplicationFactor, len(peers))
	if want == 0 {
		return reservation, nil, true
	}
	ranked := RankReplicas(o.Addr, o.Zone, key, peers)
	slices.SortStableFunc(ranked, func(a, b membership.Node) int { return o.responseRank(a) - o.responseRank(b) })
	replies := make(chan StoreReply, len(ranked))
	for range replicationAttempts {
		targets := ranked[:min(want-len(reservation.replicas), len(ranked))]
		ranked = ranked[len(targets):]
		for i, ok := range runConcurrently(ctx, o, targets, storeTimeout, func(ctx context.Context, n membership.Node) bool {
			reply, ok := o.store(ctx, n, reservation.Record)
			if ok {
				replies <- reply
			}
			return ok && reply.Accepted
		}) {
			if ok {
				reservation.replicas = append(reservation.replicas, targets[i].Addr)
				o.withTracker(func(tracker *ReplicationTracker, now time.Duration) {
					tracker.AddReplica(reservation.Record, targets[i], now)
				})
			}
		}
		for len(replies) > 0 {
			if reply := <-replies; reply.Existing != nil {
				return reservation, reply.Existing, false
			}
		}
		if len(reservation.replicas) == want {
			return reservation, nil, true
		}
	}
	return reservation, nil, false
}

// store asks a node to hold a claim; one that does not answer comes last for a while.
func (o *Owner) store(ctx context.Context, n membership.Node, record Record) (reply StoreReply, ok bool) {
	if ok = o.Client.Call(ctx, n.Addr, transport.ControlTraffic, KindStore, record).Decode(&reply); !ok {
		o.markUnresponsive(n.Addr)
	}
	return reply, ok
}

// responseRank is 1 for a node that did not answer just now.
func (o *Owner) responseRank(n membership.Node) int {
	if unresponsive := o.unresponsive.Load(); unresponsive != nil && time.Now().Before((*unresponsive)[n.Addr]) {
		return 1
	}
	return 0
}

// responsivePeers lists the other nodes that have not just been silent.
func (o *Owner) responsivePeers() []membership.Node {
	return slices.DeleteFunc(o.peers(), func(n membership.Node) bool { return o.responseRank(n) > 0 })
}

// markUnresponsive lets a holder that did not answer come last for a while.
func (o *Owner) markUnresponsive(addr string) {
	for {
		old := o.unresponsive.Load()
		next := map[string]time.Time{addr: time.Now().Add(time.Second)}
		if old != nil {
			for a, until := range *old {
				if _, ok := next[a]; !ok && time.Now().Before(until) {
					next[a] = until
				}
			}
		}
		if o.unresponsive.CompareAndSwap(old, &next) {
			return
		}
	}
}

// Complete tells the holders what was answered; without a response the request did
// not run and the claim is given up. Nobody waits for it.
func (o *Owner) Complete(ctx context.Context, reservation Reservation, response []byte) {
	kind := KindRelease
	switch {
	case response == nil:
		o.withTracker(func(tracker *ReplicationTracker, _ time.Duration) { tracker.Remove(reservation.Record) })
	case len(response) > maxReplicatedResponse:
		return // the claim stands without it
	default:
		kind, reservation.Response, reservation.TTL = KindStore, response, idempotency.Retention
		o.withTracker(func(tracker *ReplicationTracker, now time.Duration) { tracker.Complete(reservation.Record, now) })
	}
	for _, addr := range reservation.replicas {
		o.Actors.Go(context.WithoutCancel(ctx), "custody", func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			o.Client.Call(ctx, addr, transport.ControlTraffic, kind, reservation.Record)
		})
	}
}
