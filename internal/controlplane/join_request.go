package controlplane

import (
	"context"
	"sync/atomic"
	"time"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

const (
	// joinInterval is how often a replica that is no member asks to join.
	joinInterval = 200 * time.Millisecond // (ours)
	// joinTimeout is how long it waits for the reply.
	joinTimeout = 2 * time.Second // (ours)
)

// joinRequester asks for membership while this replica has none. (DESIGN 6.5)
type joinRequester struct {
	cluster *cluster
	client  *transport.Client
	// stopping is set while the process is being stopped: then it asks no more.
	stopping *atomic.Bool
}

// Run asks until ctx ends. A replica with a static member ID never does.
func (j *joinRequester) Run(ctx context.Context) {
	if j.cluster.cfg.HasStaticMember() {
		return
	}
	timer := time.NewTimer(joinInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		next := membership.HeartbeatInterval
		if j.cluster.replica.Acceptor().Phase == consensus.PhaseJoining && !j.stopping.Load() {
			j.request(ctx)
			next = joinInterval
		}
		timer.Reset(next)
	}
}

// request asks the coordinator. If this replica takes itself for it, any live one is asked, which
// forwards the request.
func (j *joinRequester) request(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	target := j.cluster.coordinator()
	if j.cluster.isSelf(target) {
		live := j.cluster.discovery.Replicas().Live(time.Now())
		if len(live) == 0 {
			return
		}
		target = live[0]
	}
	join := consensus.JoinRequest{DiskID: j.cluster.replica.Acceptor().Self.DiskID, Addr: j.cluster.cfg.Advertise, Zone: j.cluster.cfg.Zone}
	// The reply says no more than that the request arrived.
	j.client.Call(ctx, target.Addr, transport.ControlTraffic, consensus.KindJoin, join)
}
