package keyreplication

import (
	"context"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

const (
	// handoverTimeout is how long a peer may take to hand over.
	handoverTimeout = 400 * time.Millisecond
	// handoverGrace is how long peers that don't hand over delay the recovery. After it,
	// fewer than ReplicationFactor of them are tolerated, since each record has another
	// replica.
	handoverGrace = 5 * time.Second
)

// recovery collects the records of an owner's earlier incarnations from its peers.
type recovery struct {
	owner *Owner
	// answered are the incarnations of the peers that have handed over, by address.
	answered map[string]uint64
}

// requestHandovers asks the peers that have not handed over yet; viewReadyFor is how long
// the peers have been known.
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

// requestHandover restores the records that one peer stores, and reports whether it
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
