package consensus

import (
	"context"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// readIndexAttempts is how often a majority is asked for the newest committed revision, since
// what is being written is mostly committed a moment later.
const readIndexAttempts = 3 // (ours)

// ReadIndex is the newest revision that a majority holds now; false if no majority answers.
func (r *Replica) ReadIndex(ctx context.Context) (revision uint64, ok bool) {
	read, ok := r.reader.read(ctx, MsgReadIndex)
	return read.highest.Position.Revision, ok
}

// LinearizableRead reads the newest state from a majority: all that was acknowledged before it
// began is in it. If no majority is known to hold that state, refresh has it committed first.
// (DESIGN 6.4)
func (r *Replica) LinearizableRead(ctx context.Context, refresh func(ctx context.Context) CommandResult) (config.ControlState, bool) {
	read, ok := r.reader.read(ctx, MsgRead)
	if !ok {
		return config.ControlState{}, false
	}
	if read.committed {
		return read.highest.State, true
	}
	result := refresh(ctx)
	return result.State, result.Outcome == OutcomeCommitted
}

// CommittedRevision is the newest committed revision: all that was acknowledged before it was
// asked for is at or below it. If no majority is known to hold the newest state, refresh has it
// committed first.
func (r *Replica) CommittedRevision(ctx context.Context, refresh func(ctx context.Context) CommandResult) (uint64, bool) {
	for range readIndexAttempts {
		read, ok := r.reader.read(ctx, MsgReadIndex)
		if !ok {
			return 0, false
		}
		if read.committed {
			return read.highest.Position.Revision, true
		}
	}
	result := refresh(ctx)
	return result.State.Revision, result.Outcome == OutcomeCommitted
}

// CatchUp copies the committed state of another replica, which is known to have a newer one.
func (r *Replica) CatchUp(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var reply Reply
	self := r.Acceptor().Self
	response := r.deps.Client.Call(ctx, addr, transport.ControlTraffic, KindMessage, Message{Sender: self, Type: MsgRead})
	if response.Decode(&reply) && reply.Committed == reply.Position.Revision {
		r.commitLocally(ctx, self, reply.Position, reply.State)
	}
}

// observeQuorum asks a majority whether there is a newer state; false if none answers.
func (r *Replica) observeQuorum(ctx context.Context) bool {
	startedAt := time.Now()
	read, ok := r.reader.read(ctx, MsgReadIndex)
	if ok {
		r.mailbox.Send(ctx, readIndexEvent{startedAt: startedAt, read: read})
	}
	return ok
}

// handleReadIndexEvent takes what a majority showed. A newest state that was not delivered by
// the time that it is seen again is copied if majorities hold it; if not, the coordinator has
// it committed, whoever holds it.
func (r *Replica) handleReadIndexEvent(ctx context.Context, e readIndexEvent) {
	r.setHealth(r.Health().QuorumContacted(e.startedAt.Sub(r.started)))
	if r.commits.observe(e) && e.read.committed {
		r.deps.Actors.Go(ctx, "copy-state", func(ctx context.Context) { r.copyState(ctx, e.read.highest) })
	}
}

// copyState takes a state that majorities hold from an acceptor that holds it.
func (r *Replica) copyState(ctx context.Context, holder Reply) {
	self := r.Acceptor().Self
	if state, ok := r.reader.fetch(ctx, holder); ok {
		r.commitLocally(ctx, self, holder.Position, state)
	}
}

// commitLocally tells the local acceptor that a state is committed.
func (r *Replica) commitLocally(ctx context.Context, self Sender, position Position, state config.ControlState) {
	r.stepAcceptor(ctx, Message{Sender: self, Type: MsgCommit, Term: position.Term, Position: position, State: state})
}
