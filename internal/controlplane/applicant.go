package controlplane

import (
	"context"
	"time"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

// applyEvery is how often a core without a seat asks for one.
const applyEvery = 200 * time.Millisecond // (ours)

// apply asks for a seat while this core has none, until ctx ends. A core with a
// static seat asks for none, nor does one that is being stopped. (DESIGN 6.5)
func (n *Node) apply(ctx context.Context) {
	if n.set.Static() {
		return
	}
	wait := time.NewTimer(applyEvery)
	defer wait.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
		}
		next := membership.HeartbeatInterval
		if n.keeper.Acceptor().Phase == consensus.PhaseJoining && !n.draining.Load() {
			n.ask(ctx)
			next = applyEvery
		}
		wait.Reset(next)
	}
}

// ask asks the core on duty, or any that passes it on.
func (n *Node) ask(ctx context.Context) {
	a := consensus.JoinRequest{DiskID: n.keeper.Acceptor().Self.DiskID, Addr: n.set.Advertise, Zone: n.set.Zone}
	ctx, cancel := context.WithTimeout(ctx, seatLimit)
	defer cancel()
	to := n.duty().Addr
	if to == n.set.Advertise {
		live := n.seeker.Replicas().Live(time.Now())
		if len(live) == 0 {
			return
		}
		to = live[0].Addr
	}
	n.p.Net.Call(ctx, to, transport.Control, consensus.KindJoin, a)
}
