package controlplane

import (
	"context"
	"time"

	"curlewwalk/internal/controlplane/consensus"
)

const (
	// leaveTimeout is how long a stopping replica tries to leave the membership.
	leaveTimeout = 2 * time.Second // (ours)
	// leavePollInterval is how often it checks whether it has left, or tries again.
	leavePollInterval = 100 * time.Millisecond // (ours)
	// closingGrace is how long, after that, clients that keep connecting get the closing response.
	closingGrace = 2 * time.Second // (ours)
)

// leaveMembership has this replica, which is stopping, leave the members if they tolerate no fewer
// failures without it. It returns once the change is in force: then no majority that is left after
// the next failure needs this replica. (DESIGN 6.5)
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
			return // it was notified that the members without it are in force
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
