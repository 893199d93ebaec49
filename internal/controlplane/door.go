package controlplane

import (
	"context"
	"fmt"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// What an operator may ask of a core, in whatever dialect. An order that was begun goes
// on though whoever gave it goes away. (DESIGN 18)

// Put has a configuration put, unless it has faults: then nothing is done.
func (n *Node) Put(ctx context.Context, e Generation) (consensus.CommandResult, []config.FieldViolation) {
	if len(e.Desired) > config.MaxBytes || len(e.Sent) > config.MaxBytes {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}, []config.FieldViolation{{Path: "$", Message: fmt.Sprintf("over %d bytes", config.MaxBytes)}}
	}
	_, faults, ok := config.Parse(e.Desired)
	if !ok {
		faults = []config.FieldViolation{{Path: "$", Message: "not JSON"}}
	}
	if len(faults) > 0 {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}, faults
	}
	o := consensus.Command{Kind: consensus.CommandPutConfiguration, Payload: e.Desired, Generation: e.Number, Submitted: e.Sent, IfMatch: e.IfMatch}
	if e.Number != 0 {
		o.Digest = config.SubmissionDigest(e.Sent, e.Desired)
	}
	a := n.obey(ctx, o)
	if a.Outcome == consensus.OutcomeConflict {
		n.p.Log.Warn("another configuration was taken under its number", "generation", e.Number, "held", a.State.Generation)
	}
	return a, nil
}

// Empty has a zone emptied.
func (n *Node) Empty(ctx context.Context, zone string) consensus.CommandResult {
	return n.evacuate(ctx, consensus.Command{Kind: consensus.CommandEvacuate, Zone: zone})
}

// TakeBack has a zone taken back.
func (n *Node) TakeBack(ctx context.Context, zone string) consensus.CommandResult {
	return n.evacuate(ctx, consensus.Command{Kind: consensus.CommandRevokeEvacuation, Zone: zone})
}

// evacuate carries an order on a zone out. It is bound to what was settled when it
// came, so that it does not undo what is ordered there after it, however late it is
// carried out; and it is not begun if whoever gave it has gone away meanwhile, since the
// same was then given elsewhere, and perhaps something newer. A core that has just woken
// can't know that yet, and takes none. (DESIGN 6.3)
func (n *Node) evacuate(ctx context.Context, o consensus.Command) consensus.CommandResult {
	if !n.keeper.Connected() || n.keeper.RecentlyResumed() {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}
	}
	since, ok := n.keeper.CommittedRevision(ctx, n.refresh)
	if !ok || ctx.Err() != nil {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}
	}
	o.SinceRevision = &since
	return n.obey(ctx, o)
}

// obey carries an order out.
func (n *Node) obey(ctx context.Context, o consensus.Command) consensus.CommandResult {
	return await(ctx, n.p.Launcher, func(ctx context.Context) consensus.CommandResult { return n.write(ctx, o) })
}

// await carries out an order that goes on though whoever gave it goes away, and returns
// its answer, or that it is not known when ctx ends before.
func await(ctx context.Context, l *actor.Launcher, order func(ctx context.Context) consensus.CommandResult) consensus.CommandResult {
	answer := make(chan consensus.CommandResult, 1)
	l.Go(context.WithoutCancel(ctx), "order", func(ctx context.Context) { answer <- order(ctx) })
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return consensus.CommandResult{Outcome: consensus.OutcomeUnknown}
	}
}

// Read reads the newest word back from a majority; false if none answers.
func (n *Node) Read(ctx context.Context) (config.ControlState, bool) {
	state, ok := n.keeper.LinearizableRead(ctx, n.refresh)
	if ok {
		n.counters.reads.Add("answered")
	} else {
		n.counters.reads.Add("no-quorum")
	}
	return state, ok
}

// Ready tells whether the core serves, and why not.
func (n *Node) Ready(ctx context.Context) (bool, string) {
	st, ok := n.directory.Status(ctx)
	lacking := lacksSeat(n.keeper.Acceptor(), n.joined.Load())
	n.joined.Store(lacking == "")
	switch {
	case n.draining.Load():
		return false, "stopping"
	case lacking != "":
		return false, lacking
	case !n.keeper.Connected():
		return false, "no majority of cores answers"
	case !ok || !st.Ready:
		return false, "still being told of the nodes"
	}
	return true, "serving"
}

// lacksSeat tells why a core does not count as a member yet, or nothing; joined is
// whether it did when this was last asked. A change of the set that brought it in has to
// be finished: until then a loss in the set before may stop the cores. Changes after that
// one leave it a member.
func lacksSeat(v consensus.Acceptor, joined bool) string {
	switch {
	case v.Phase != consensus.PhaseEstablished:
		return "not established in its slot"
	case !v.IsMember():
		return "its slot was struck"
	case !joined && len(v.MemberSets().Previous) > 0:
		return "the set before is still needed beside the one that names it"
	}
	return ""
}

// InForce waits until all sidecars have a stamp in force, or for a while, and
// lists those that have not; known is false while that can't be told.
// (DESIGN 6.6)
func (n *Node) InForce(ctx context.Context, stamp uint64) (behind []string, known bool) {
	return n.directory.AwaitApplied(ctx, stamp)
}
