package controlplane

import (
	"context"
	"time"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

// joinInterval is how often a core without a seat asks for one.
const joinInterval = 200 * time.Millisecond // (ours)

// runJoinRequests asks for a seat while this core has none, until ctx ends. A core with a
// static seat asks for none, nor does one that is being stopped. (DESIGN 6.5)
func (n *Node) runJoinRequests(ctx context.Context) {
	if n.cfg.HasStaticMember() {
		return
	}
	wait := time.NewTimer(joinInterval)
	defer wait.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
		}
		next := membership.HeartbeatInterval
		if n.replica.Acceptor().Phase == consensus.PhaseJoining && !n.draining.Load() {
			n.requestMembership(ctx)
			next = joinInterval
		}
		wait.Reset(next)
	}
}

// requestMembership asks the core on duty, or any that passes it on.
func (n *Node) requestMembership(ctx context.Context) {
	a := consensus.JoinRequest{DiskID: n.replica.Acceptor().Self.DiskID, Addr: n.cfg.Advertise, Zone: n.cfg.Zone}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	to := n.coordinator().Addr
	if to == n.cfg.Advertise {
		live := n.discovery.Replicas().Live(time.Now())
		if len(live) == 0 {
			return
		}
		to = live[0].Addr
	}
	n.process.TransportClient.Call(ctx, to, transport.ControlTraffic, consensus.KindJoin, a)
}
