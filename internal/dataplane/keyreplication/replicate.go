package keyreplication

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

const (
	// storeTimeout is how long a peer may take to store a record.
	storeTimeout = 150 * time.Millisecond
	// replicationAttempts is how often peers that did not store a record are replaced by
	// the next.
	replicationAttempts = 3
	// completionTimeout is how long a peer may take to store a response or to release a
	// record. Nobody waits for it.
	completionTimeout = 2 * time.Second
	// maxReplicatedResponse is the size in bytes of the largest response that is
	// replicated.
	maxReplicatedResponse = 256 << 10
)

// Reservation is the record of a reservation with the addresses of its replicas.
type Reservation struct {
	Record
	replicas []string
}

// ErrNotReplicated is returned if too few peers store a record.
var ErrNotReplicated = errors.New("too few peers store the record of the idempotency key")

// ReservedError is returned for a key that an earlier incarnation of this sidecar has
// reserved.
type ReservedError struct {
	// Existing is the record of that reservation.
	Existing Record
}

// Error implements error.
func (e *ReservedError) Error() string {
	return fmt.Sprintf("the idempotency key is reserved by incarnation %d", e.Existing.Incarnation)
}

// Replicate makes a reservation and stores it on ReplicationFactor peers, or on all of them
// if they are fewer. remaining is the time until the request's deadline.
//
// With an error the request must not be executed: ErrNotReplicated, and then the reservation
// is released, or a *ReservedError.
func (o *Owner) Replicate(ctx context.Context, key idempotency.Key, fingerprint idempotency.Fingerprint, remaining time.Duration) (Reservation, error) {
	reservation := Reservation{Record: Record{
		Owner: o.config.Addr, Incarnation: o.config.Incarnation, Sequence: o.sequence.Add(1),
		Key: key, Fingerprint: fingerprint, TTL: remaining + idempotency.Retention,
	}}
	peers := o.peers()
	want := min(ReplicationFactor, len(peers))
	if want == 0 {
		return reservation, nil
	}
	candidates := RankReplicas(o.config.Addr, o.config.Zone, key, peers)
	slices.SortStableFunc(candidates, o.health.compare)
	for range replicationAttempts {
		targets := candidates[:min(want-len(reservation.replicas), len(candidates))]
		candidates = candidates[len(targets):]
		accepted, existing := o.storeOnAll(ctx, targets, reservation.Record)
		for _, peer := range accepted {
			reservation.replicas = append(reservation.replicas, peer.Addr)
			o.addReplica(reservation.Record, peer)
		}
		if existing != nil {
			return reservation, &ReservedError{Existing: *existing}
		}
		if len(reservation.replicas) == want {
			return reservation, nil
		}
	}
	o.Release(ctx, reservation)
	return reservation, ErrNotReplicated
}

// storeOnAll asks all targets to store a record. It returns those that accepted it, and the
// first record of an earlier incarnation that one of them returned, if any.
func (o *Owner) storeOnAll(ctx context.Context, targets []membership.Node, record Record) (accepted []membership.Node, existing *Record) {
	conflicts := make(chan *Record, len(targets))
	results := runConcurrently(ctx, o.deps.Actors, targets, storeTimeout, func(ctx context.Context, target membership.Node) bool {
		reply, ok := o.store(ctx, target, record)
		if ok && reply.Existing != nil {
			conflicts <- reply.Existing
		}
		return ok && reply.Accepted
	})
	for i, ok := range results {
		if ok {
			accepted = append(accepted, targets[i])
		}
	}
	select {
	case existing = <-conflicts:
	default:
	}
	return accepted, existing
}

// store asks a peer to store a record; ok is false if it did not answer.
func (o *Owner) store(ctx context.Context, peer membership.Node, record Record) (reply StoreReply, ok bool) {
	if ok = o.deps.Client.Call(ctx, peer.Addr, transport.ControlTraffic, KindStore, record).Decode(&reply); !ok {
		o.health.markUnresponsive(peer.Addr)
	}
	return reply, ok
}

// Complete sends a response to the replicas of a reservation, unless it is too large. It does
// not wait for them: a record without its response still prevents a second execution.
func (o *Owner) Complete(ctx context.Context, reservation Reservation, response []byte) {
	if len(response) > maxReplicatedResponse {
		return
	}
	reservation.Response, reservation.TTL = response, idempotency.Retention
	o.withTracker(func(tracker *ReplicationTracker, now time.Duration) { tracker.Complete(reservation.Record, now) })
	o.sendToReplicas(ctx, KindStore, reservation)
}

// Release removes a reservation whose request was certainly not executed. It does not wait
// for the replicas.
func (o *Owner) Release(ctx context.Context, reservation Reservation) {
	o.withTracker(func(tracker *ReplicationTracker, _ time.Duration) { tracker.Remove(reservation.Record) })
	o.sendToReplicas(ctx, KindRelease, reservation)
}

// sendToReplicas sends a record to its replicas, also after the end of ctx.
func (o *Owner) sendToReplicas(ctx context.Context, kind string, reservation Reservation) {
	for _, addr := range reservation.replicas {
		o.deps.Actors.Go(context.WithoutCancel(ctx), goroutineName, func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, completionTimeout)
			defer cancel()
			o.deps.Client.Call(ctx, addr, transport.ControlTraffic, kind, reservation.Record)
		})
	}
}
