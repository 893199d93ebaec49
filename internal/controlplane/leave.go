package controlplane

import (
	"context"
	"time"

	"curlewwalk/internal/controlplane/consensus"
)

const (
	// leaveTimeout is how long a stopping replica tries to leave the membership.
	leaveTimeout = 2 * time.Second
	// leavePollInterval is the interval at which a stopping replica checks whether it has left, or
	// tries again to leave.
	leavePollInterval = 100 * time.Millisecond
	// closingGrace is how long clients that keep connecting receive the closing response after the
	// replica has left.
	closingGrace = 2 * time.Second
)

// leaveMembership removes this stopping replica from the membership, unless the remaining members
// would tolerate fewer failures. It returns once the change is in force, if the replica stays a
// member, or after leaveTimeout. Once the change is in force, the other members do not need this
// replica for a majority, even after a further failure. (DESIGN 6.5)
func (n *Node) leaveMembership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	poll := time.NewTicker(leavePollInterval)
	defer poll.Stop()
	left := false
	for {
		acceptor := n.replica.Acceptor()
		command, ok := consensus.PlanLeave(acceptor)
		switch {
		case left && acceptor.Phase != consensus.PhaseEstablished:
			return // this replica was notified that the membership without it is in force
		case !left && ok:
			result := n.commands.submit(ctx, command)
			left = result.Outcome == consensus.OutcomeCommitted
			n.process.Log.Info("leaving the membership", logMember, acceptor.Self.MemberID, logOutcome, string(result.Outcome))
		case !left && len(acceptor.MemberSets().Previous) == 0:
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}
