package controlplane

import (
	"context"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

// handleHeartbeat handles a membership.Heartbeat from another replica or from a sidecar. A sidecar
// sends either its full state (Node) or the changes to it (NodeStatus).
func (n *Node) handleHeartbeat(ctx context.Context, request transport.Request) (any, error) {
	var h membership.Heartbeat
	if !request.Decode(&h) {
		return nil, membership.ErrNotHeartbeat
	}
	response, sidecar := n.discovery.Respond(h, n.cluster.announcedStatus()), ""
	switch {
	case h.Node != nil:
		sidecar = h.Node.Addr
		response.Departed = n.watchServer.ObserveNode(ctx, *h.Node)
		n.departures.Report(ctx, h.Node.Departed)
	case h.NodeStatus != nil:
		sidecar = h.NodeStatus.Addr
		response.RequestFull = !n.watchServer.ObserveStatus(ctx, *h.NodeStatus)
	}
	// TableDigest is zero only in heartbeats of older versions, which do not set WantBudgets.
	if sidecar != "" && (h.WantBudgets || h.TableDigest == 0) {
		response.Budgets = n.watchServer.Budgets()
	}
	if incarnation, ok := n.watchServer.Suspected(sidecar); ok {
		response.Suspected = &incarnation
	}
	return response, nil
}

// catchUpFrom copies the committed state from another replica if that replica has a newer revision.
// (DESIGN 6.4)
func (n *Node) catchUpFrom(ctx context.Context, replica membership.Replica) {
	acceptor := n.replica.Acceptor()
	started := acceptor.Phase == consensus.PhaseEstablished || acceptor.Phase == consensus.PhaseJoining
	if started && replica.CommittedRevision > acceptor.Committed {
		n.process.Actors.Go(ctx, "catch-up", func(ctx context.Context) { n.replica.CatchUp(ctx, replica.Addr) })
	}
}
