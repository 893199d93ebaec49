package consensus

import (
	"context"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// readIndexAttempts is the number of quorum reads that try to find the newest state committed
// before a refresh is requested. A write in progress is usually committed by the next read.
const readIndexAttempts = 3

// ReadIndex returns the newest revision that a majority holds now. It returns false if no
// majority answers.
func (r *Replica) ReadIndex(ctx context.Context) (revision uint64, ok bool) {
	read, ok := r.reader.read(ctx, MsgReadIndex)
	return read.highest.Position.Revision, ok
}

// LinearizableRead reads the newest state from a majority. The state includes every write that
// was acknowledged before the read began. If no majority is known to hold that state,
// LinearizableRead calls refresh to have it committed first. (DESIGN 6.4)
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

// CommittedRevision returns the newest committed revision. Every write that was acknowledged
// before the call is at or below that revision. If no majority is known to hold the newest
// state, CommittedRevision calls refresh to have it committed first.
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

// CatchUp copies the committed state of another replica that has announced a newer committed
// revision.
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

// observeQuorum asks a majority whether there is a newer state and reports whether one
// answered.
func (r *Replica) observeQuorum(ctx context.Context) bool {
	startedAt := time.Now()
	read, ok := r.reader.read(ctx, MsgReadIndex)
	if ok {
		r.mailbox.Send(ctx, readIndexEvent{startedAt: startedAt, read: read})
	}
	return ok
}

// handleReadIndexEvent processes the result of a quorum read. If two successive reads return
// the same state as the newest one and it has still not been delivered, the replica copies it
// if it is committed. If it is not committed, the coordinator commits it, no matter which
// acceptors hold it.
func (r *Replica) handleReadIndexEvent(ctx context.Context, e readIndexEvent) {
	r.setHealth(r.Health().QuorumContacted(e.startedAt.Sub(r.started)))
	if r.commits.observe(e) && e.read.committed {
		r.deps.Actors.Go(ctx, "copy-state", func(ctx context.Context) { r.copyState(ctx, e.read.highest) })
	}
}

// copyState fetches a committed state from an acceptor that holds it and commits it locally.
func (r *Replica) copyState(ctx context.Context, holder Reply) {
	self := r.Acceptor().Self
	if state, ok := r.reader.fetch(ctx, holder); ok {
		r.commitLocally(ctx, self, holder.Position, state)
	}
}

// commitLocally informs the local acceptor that a state is committed.
func (r *Replica) commitLocally(ctx context.Context, self Sender, position Position, state config.ControlState) {
	r.stepAcceptor(ctx, Message{Sender: self, Type: MsgCommit, Term: position.Term, Position: position, State: state})
}
