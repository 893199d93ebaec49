package controlplane

import (
	"context"

	"curlewwalk/internal/controlplane/consensus"
)

// live reports whether the actor of the watch server answers. component is its name in the /live
// response.
func (n *Node) live(ctx context.Context) (ok bool, component string) {
	_, ok = n.watchServer.Status(ctx)
	return ok, "control thread"
}

// Ready reports whether the node serves operators and sidecars. If it does not, reason says why.
func (n *Node) Ready(ctx context.Context) (ok bool, reason string) {
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

// whyNotMember returns the reason why a replica does not count as a member, or the empty string if
// it does. joined says whether the replica counted as a member at the last check.
//
// A joining replica counts as a member only when the membership change that added it is finished.
// Until then, a failure among the previous members may stop the control plane. During later
// membership changes the replica remains a member.
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
