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
	// storeTimeout bounds the time for storing a record on a peer.
	storeTimeout = 150 * time.Millisecond
	// replicationAttempts is the number of rounds in which a record is sent to peers. After
	// each round, peers that did not store the record are replaced by the next candidates.
	replicationAttempts = 3
	// completionTimeout bounds the time for sending a response or a release to a peer. No
	// request waits for these calls.
	completionTimeout = 2 * time.Second
	// maxReplicatedResponse is the maximum size of a replicated response, in bytes.
	maxReplicatedResponse = 256 << 10
)

// Reservation is the record of a reservation and the addresses of its replicas.
type Reservation struct {
	Record
	replicas []string
}

// ErrNotReplicated is returned if too few peers store a record.
var ErrNotReplicated = errors.New("too few peers store the record of the idempotency key")

// ReservedError is returned if an earlier incarnation of this sidecar has reserved the key.
type ReservedError struct {
	// Existing is the record of the earlier reservation.
	Existing Record
}

// Error implements error.
func (e *ReservedError) Error() string {
	return fmt.Sprintf("the idempotency key is reserved by incarnation %d", e.Existing.Incarnation)
}

// Replicate makes a reservation and stores it on ReplicationFactor peers, or on all peers if
// there are fewer. remaining is the time until the request's deadline.
//
// If Replicate returns an error, the request must not be executed. The error is
// ErrNotReplicated, in which case the reservation has been released, or a *ReservedError. In
// the latter case, the record stays on the peers that accepted it.
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

// storeOnAll sends a record to all targets. It returns the targets that accepted the record.
// If targets returned a record of an earlier incarnation, existing is the first such record.
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

// store sends a record to a peer. ok is false if the peer did not answer.
func (o *Owner) store(ctx context.Context, peer membership.Node, record Record) (reply StoreReply, ok bool) {
	if ok = o.deps.Client.Call(ctx, peer.Addr, transport.ControlTraffic, KindStore, record).Decode(&reply); !ok {
		o.health.markUnresponsive(peer.Addr)
	}
	return reply, ok
}

// Complete sends a response to the replicas of a reservation, unless the response is too
// large. It does not wait for the replicas: a record without its response still prevents a
// second execution.
func (o *Owner) Complete(ctx context.Context, reservation Reservation, response []byte) {
	if len(response) > maxReplicatedResponse {
		return
	}
	reservation.Response, reservation.TTL = response, idempotency.Retention
	o.withTracker(func(tracker *ReplicationTracker, now time.Duration) { tracker.Complete(reservation.Record, now) })
	o.sendToReplicas(ctx, KindStore, reservation)
}

// Release removes the reservation of a request that was certainly not executed. It does not
// wait for the replicas.
func (o *Owner) Release(ctx context.Context, reservation Reservation) {
	o.withTracker(func(tracker *ReplicationTracker, _ time.Duration) { tracker.Remove(reservation.Record) })
	o.sendToReplicas(ctx, KindRelease, reservation)
}

// sendToReplicas sends a record to the replicas that Replicate selected, not to those that repair
// added later. The calls continue after ctx ends.
func (o *Owner) sendToReplicas(ctx context.Context, kind string, reservation Reservation) {
	for _, addr := range reservation.replicas {
		o.deps.Actors.Go(context.WithoutCancel(ctx), goroutineName, func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, completionTimeout)
			defer cancel()
			o.deps.Client.Call(ctx, addr, transport.ControlTraffic, kind, reservation.Record)
		})
	}
}
