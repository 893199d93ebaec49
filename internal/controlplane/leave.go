package controlplane

import (
	"context"
	"time"

	"curlewwalk/internal/controlplane/consensus"
)

const (
	// leaveLimit is how long a core that is being stopped tries to leave the set.
	leaveLimit = 2 * time.Second // (ours)
	// linger is how long it says the farewell, after that, to operators that keep coming.
	linger = 2 * time.Second // (ours)
	// leaveEvery is how often it looks whether it has left, or tries again.
	leaveEvery = 100 * time.Millisecond // (ours)
)

// leave has this core, which is being stopped, leave a set of slots that bears no
// fewer losses without it, and returns once the set without it is in force: no
// majority that a next loss leaves needs this core any more. (DESIGN 6.5)
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	look := time.NewTicker(leaveEvery)
	defer look.Stop()
	left := false
	for {
		v := n.keeper.Acceptor()
		o, ok := consensus.PlanLeave(v)
		switch {
		case left && v.Phase != consensus.PhaseEstablished:
			return // it has learnt that the set without it is in force
		case !left && ok:
			a := n.write(ctx, o)
			left = a.Outcome == consensus.OutcomeCommitted
			n.p.Log.Info("leaves the set of slots", "slot", v.Self.MemberID, "taken", string(a.Outcome))
		case !left && len(v.MemberSets().Previous) == 0:
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
	}
}
