package keyreplication

import (
	"context"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

const (
	// handoverTimeout bounds the time for one handover request.
	handoverTimeout = 400 * time.Millisecond
	// handoverGrace is how long peers that do not answer delay the recovery. After it, the
	// recovery tolerates fewer than ReplicationFactor missing peers, because each record then
	// has another replica.
	handoverGrace = 5 * time.Second
)

// recovery collects the records of an owner's earlier incarnations from the owner's peers.
type recovery struct {
	owner *Owner
	// answered maps the address of each peer that has handed over its records to the peer's
	// incarnation.
	answered map[string]uint64
}

// requestHandovers requests a handover from each peer that has not answered yet. viewReadyFor
// is the time since the view became ready.
func (r *recovery) requestHandovers(ctx context.Context, viewReadyFor time.Duration) {
	var pending []membership.Node
	for _, peer := range r.owner.peers() {
		if r.answered[peer.Addr] != peer.Incarnation {
			pending = append(pending, peer)
		}
	}
	missing := 0
	for i, ok := range runConcurrently(ctx, r.owner.deps.Actors, pending, handoverTimeout, r.owner.requestHandover) {
		if ok {
			r.answered[pending[i].Addr] = pending[i].Incarnation
		} else {
			missing++
		}
	}
	if missing == 0 || missing < ReplicationFactor && viewReadyFor > handoverGrace {
		r.owner.recovered.Store(true)
	}
}

// requestHandover restores the records that one peer stores. It reports whether the peer
// answered.
func (o *Owner) requestHandover(ctx context.Context, peer membership.Node) bool {
	var reply HandoverReply
	request := HandoverRequest{Owner: o.config.Addr, Incarnation: o.config.Incarnation}
	if !o.deps.Client.Call(ctx, peer.Addr, transport.ControlTraffic, KindHandover, request).Decode(&reply) {
		return false
	}
	for _, record := range reply.Records {
		o.deps.Restore(ctx, record)
		o.addReplica(record, peer)
	}
	return true
}
