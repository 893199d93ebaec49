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
	// recoveryInterval is the interval between handover requests until the records of earlier
	// incarnations have been recovered.
	recoveryInterval = 20 * time.Millisecond
	// repairGrace is the time that the other owners need after a start of this node to detect
	// the start and to replace the replicas that an earlier incarnation of this node stored.
	repairGrace = 1200 * time.Millisecond
	// goroutineName is the name of the goroutines that make an owner's calls.
	goroutineName = "key replication"
)

// OwnerConfig identifies the sidecar whose records an Owner replicates.
type OwnerConfig struct {
	// Addr, Incarnation, and Zone are those of the sidecar.
	Addr        string
	Incarnation uint64
	Zone        string
}

// OwnerDeps holds the dependencies of an Owner.
type OwnerDeps struct {
	// View returns the current view of the nodes.
	View func() *membership.View
	// ViewReady reports whether this sidecar has received a view from the control plane or
	// from a peer.
	ViewReady func() bool
	Client    *transport.Client
	Actors    *actor.System
	// Restore is called with each record of an earlier incarnation.
	Restore func(ctx context.Context, record Record)
}

// Owner replicates the records of a sidecar's reservations, and recovers the records of the
// sidecar's earlier incarnations. It is safe for concurrent use.
type Owner struct {
	config OwnerConfig
	deps   OwnerDeps

	// sequence is the sequence number of the latest reservation of this incarnation.
	sequence       atomic.Uint64
	recovered      atomic.Bool
	repairComplete atomic.Bool
	health         peerHealth

	// mu guards tracker. Each request with a key holds it only briefly. (DESIGN 13)
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

// Recovered reports whether the records of earlier incarnations have been recovered. Requests
// with a key may be executed only after that.
func (o *Owner) Recovered() bool { return o.recovered.Load() }

// RepairComplete reports whether the other owners have had enough time to replace the
// replicas that an earlier incarnation of this node stored. After that, it is safe to stop
// the next node.
func (o *Owner) RepairComplete() bool { return o.repairComplete.Load() }

// Run recovers the records of earlier incarnations and repairs the replication of current
// records until ctx ends. It requests a handover from every peer that appears in the view
// within idempotency.Retention after the view became ready, because peers may still store
// records of an earlier incarnation.
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

// withTracker calls do with the tracker and the time since the owner was created. It holds mu
// during the call.
func (o *Owner) withTracker(do func(tracker *ReplicationTracker, now time.Duration)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do(o.tracker, time.Since(o.start))
}

// addReplica records that a peer stores a record.
func (o *Owner) addReplica(record Record, peer membership.Node) {
	o.withTracker(func(tracker *ReplicationTracker, now time.Duration) { tracker.AddReplica(record, peer, now) })
}

// runConcurrently calls do for all items concurrently and waits for all calls to return.
// timeout limits the context of the calls. The result reports for each item whether its call
// succeeded.
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
