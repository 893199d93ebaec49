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
	// joinInterval is the interval at which a replica that is not a member requests to join.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds a join request, and its forwarding to the coordinator.
	joinTimeout = 2 * time.Second
)

// joinRequester requests membership while this replica is not a member. (DESIGN 6.5)
type joinRequester struct {
	cluster *cluster
	client  *transport.Client
	// stopping is set when the process begins to stop. No requests are sent from then on.
	stopping *atomic.Bool
}

// Run sends join requests until ctx ends: one per joinInterval while the replica is joining. At
// other times it checks once per heartbeat interval whether the replica is joining again. A replica
// with a static member ID sends none.
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

// request sends a join request to the coordinator. If this replica considers itself the
// coordinator, the request goes to another live replica, which forwards it.
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
	// The reply is ignored, because it only confirms that the request arrived.
	j.client.Call(ctx, target.Addr, transport.ControlTraffic, consensus.KindJoin, join)
}
