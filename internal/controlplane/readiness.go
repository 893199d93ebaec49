package controlplane

import (
	"context"

	"curlewwalk/internal/controlplane/consensus"
)

// live tells whether the watch server's actor answers, and what /live calls it.
func (n *Node) live(ctx context.Context) (ok bool, what string) {
	_, ok = n.watchServer.Status(ctx)
	return ok, "control thread"
}

// Ready tells whether the node serves operators and sidecars, and why not.
func (n *Node) Ready(ctx context.Context) (ok bool, why string) {
	status, answered := n.watchServer.Status(ctx)
	notMember := whyNotMember(n.replica.Acceptor(), n.wasMember.Load())
	n.wasMember.Store(notMember == "")
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case notMember != "":
		return false, notMember
	case !n.replica.Connected():
		return false, "no majority of cores answers"
	case !answered || !status.Ready:
		return false, "still being told of the nodes"
	}
	return true, "serving"
}

// whyNotMember tells why a replica does not count as a member yet, or nothing; joined is whether
// it did when this was last asked. The membership change that brought it in has to be finished:
// until then a failure among the previous members may stop the control plane. Later changes leave
// it a member.
func whyNotMember(acceptor consensus.Acceptor, joined bool) string {
	switch {
	case acceptor.Phase != consensus.PhaseEstablished:
		return "not established in its slot"
	case !acceptor.IsMember():
		return "its slot was struck"
	case !joined && len(acceptor.MemberSets().Previous) > 0:
		return "the set before is still needed beside the one that names it"
	}
	return ""
}
