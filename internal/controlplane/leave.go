package controlplane

import (
	"context"
	"time"

	"curlewwalk/internal/controlplane/consensus"
)

const (
	// leaveTimeout is how long a core that is being stopped tries to leave the set.
	leaveTimeout = 2 * time.Second // (ours)
	// closingGrace is how long it says the farewell, after that, to operators that keep coming.
	closingGrace = 2 * time.Second // (ours)
	// leavePollInterval is how often it looks whether it has left, or tries again.
	leavePollInterval = 100 * time.Millisecond // (ours)
)

// leaveMembership has this core, which is being stopped, leave a set of slots that bears no
// fewer losses without it, and returns once the set without it is in force: no
// majority that a next loss leaves needs this core any more. (DESIGN 6.5)
func (n *Node) leaveMembership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	look := time.NewTicker(leavePollInterval)
	defer look.Stop()
	left := false
	for {
		acceptor := n.replica.Acceptor()
		command, ok := consensus.PlanLeave(acceptor)
		switch {
		case left && acceptor.Phase != consensus.PhaseEstablished:
			return // it has learnt that the set without it is in force
		case !left && ok:
			result := n.submit(ctx, command)
			left = result.Outcome == consensus.OutcomeCommitted
			n.process.Log.Info("leaves the set of slots", "slot", acceptor.Self.MemberID, "taken", string(result.Outcome))
		case !left && len(acceptor.MemberSets().Previous) == 0:
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
	}
}
