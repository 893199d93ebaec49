package keyreplication

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

const (
	// recoveryInterval is how often the records of earlier incarnations are asked for
	// until they have been recovered.
	recoveryInterval = 20 * time.Millisecond
	// repairGrace is how long after a start the other owners take to notice it, and to
	// replace the replicas that an earlier incarnation of this node stored.
	repairGrace = 1200 * time.Millisecond
	// goroutineName names the goroutines of an owner's calls.
	goroutineName = "key replication"
)

// OwnerConfig says whose records an Owner replicates.
type OwnerConfig struct {
	// Addr, Incarnation and Zone are those of this sidecar.
	Addr        string
	Incarnation uint64
	Zone        string
}

// OwnerDeps are the parts that an Owner works with.
type OwnerDeps struct {
	// View returns the current view of the nodes.
	View func() *membership.View
	// ViewReady reports whether the view has been learned from the control plane.
	ViewReady func() bool
	Client    *transport.Client
	Actors    *actor.System
	// Restore takes over each record of an earlier incarnation.
	Restore func(ctx context.Context, record Record)
}

// Owner replicates the records of a sidecar's reservations, and recovers those of its
// earlier incarnations. It is safe for concurrent use.
type Owner struct {
	config OwnerConfig
	deps   OwnerDeps

	// sequence numbers the reservations of this incarnation.
	sequence       atomic.Uint64
	recovered      atomic.Bool
	repairComplete atomic.Bool
	health         peerHealth

	// mu guards tracker. It is held for a moment by each request with a key.
	// (DESIGN 13)
	mu      sync.Mutex
	tracker *ReplicationTracker
	start   time.Time
}

// NewOwner returns an owner without records.
func NewOwner(config OwnerConfig, deps OwnerDeps) *Owner {
	return &Owner{
		config: config, deps: deps,
		tracker: NewReplicationTracker(config.Addr, config.Zone), start: time.Now(),
	}
}

// Recovered reports whether the records of earlier incarnations have been handed over, so
// that requests with a key may be executed.
func (o *Owner) Recovered() bool { return o.recovered.Load() }

// RepairComplete reports whether the other owners have had the time to replace the replicas
// that an earlier incarnation of this node stored, so that the next node may be stopped.
func (o *Owner) RepairComplete() bool { return o.repairComplete.Load() }

// Run recovers the records of earlier incarnations and repairs the replication of the
// present ones, until ctx ends. Every peer that comes into view is asked to hand over, for
// as long as an earlier incarnation's records may be kept.
func (o *Owner) Run(ctx context.Context) {
	var viewReadyAt time.Time
	recovering := recovery{owner: o, answered: map[string]uint64{}}
	tick := time.NewTicker(recoveryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !o.deps.ViewReady() {
			continue
		}
		if viewReadyAt.IsZero() {
			viewReadyAt = time.Now()
		}
		o.repairComplete.Store(o.Recovered() && time.Since(viewReadyAt) > repairGrace)
		if o.Recovered() {
			tick.Reset(membership.HeartbeatInterval)
		}
		if time.Since(viewReadyAt) < idempotency.Retention {
			recovering.requestHandovers(ctx, time.Since(viewReadyAt))
		}
		o.repair(ctx)
	}
}

func (o *Owner) peers() []membership.Node { return Peers(o.deps.View(), o.config.Addr) }

// withTracker calls do with the tracker and the time since the owner's start.
func (o *Owner) withTracker(do func(tracker *ReplicationTracker, now time.Duration)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do(o.tracker, time.Since(o.start))
}

// addReplica notes that a peer stores a record.
func (o *Owner) addReplica(record Record, peer membership.Node) {
	o.withTracker(func(tracker *ReplicationTracker, now time.Duration) { tracker.AddReplica(record, peer, now) })
}

// runConcurrently calls do for all items at once, and returns for each whether it
// succeeded. It waits for all of them; timeout bounds their contexts.
func runConcurrently[T any](ctx context.Context, actors *actor.System, items []T, timeout time.Duration, do func(context.Context, T) bool) []bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type result struct {
		index     int
		succeeded bool
	}
	results := make(chan result, len(items))
	for i, item := range items {
		actors.Go(ctx, goroutineName, func(ctx context.Context) { results <- result{i, do(ctx, item)} })
	}
	succeeded := make([]bool, len(items))
	for range items {
		r := <-results
		succeeded[r.index] = r.succeeded
	}
	return succeeded
}
