package consensus

import (
	"context"
	"time"
)

// attemptInterval is how often an empty disk tries to become that of a static member, and how
// often the coordinator tries to have an uncommitted state committed.
const attemptInterval = 300 * time.Millisecond // (ours)

// joinAttempts are the attempts of an empty disk to become that of a static member. One that
// took its membership under a lower incarnation than a later attempt was granted would not be
// counted: there is one attempt at a time, and each asks for a higher one.
type joinAttempts struct {
	inProgress bool
	// incarnation is the highest one asked for so far.
	incarnation uint64
}

// nextIncarnation is the incarnation to ask for, which is at least a given one.
func (j *joinAttempts) nextIncarnation(least uint64) uint64 {
	j.incarnation = max(j.incarnation+1, least)
	return j.incarnation
}

// startJoin begins an attempt, unless one is in progress or was just made: it asks the other
// members what they know.
func (r *Replica) startJoin(ctx context.Context, now time.Duration) {
	if !r.joining.inProgress && (now-r.lastAttempt >= attemptInterval || r.lastAttempt == 0) {
		r.lastAttempt, r.joining.inProgress = now, true
		r.deps.Actors.Go(ctx, "start-join", func(ctx context.Context) {
			r.mailbox.Send(ctx, bootstrapEvent{r.collectFromPeers(ctx, Message{Sender: r.Acceptor().Self, Type: MsgRead})})
		})
	}
}

// collectFromPeers sends a message to all other members and returns the replies that came in
// time.
func (r *Replica) collectFromPeers(ctx context.Context, message Message) map[int]Reply {
	replies := r.members.collectReplies(ctx, message, nil)
	delete(replies, r.Acceptor().Self.MemberID)
	return replies
}

// tryEstablish goes on with an attempt: the acceptor is established, or asks the others for the
// membership of another disk.
func (r *Replica) tryEstablish(ctx context.Context, replies map[int]Reply) {
	decide := func(acceptor Acceptor) (Acceptor, bool) {
		if acceptor.Phase == PhaseEstablished {
			return acceptor, false
		}
		return acceptor.Establish(replies)
	}
	done := func(ctx context.Context, ok bool) {
		if ok {
			r.deps.Log.Info("established as a static member", "member_id", r.acceptor.Self.MemberID, "members", r.acceptor.StaticSize)
		}
		r.joining.inProgress = !ok && r.requestJoin(ctx, replies)
	}
	r.enqueueTransition(ctx, transition{decide: decide, done: done, deadline: r.now() + messageTimeout})
}

// requestJoin asks the others for the membership; false if it may not be asked for yet.
func (r *Replica) requestJoin(ctx context.Context, replies map[int]Reply) bool {
	if _, established := r.acceptor.Establish(replies); established || r.acceptor.Phase == PhaseEstablished {
		return false
	}
	self, ready := r.acceptor.NextIncarnation(replies)
	if !ready {
		return false
	}
	self.Incarnation = r.joining.nextIncarnation(self.Incarnation)
	r.deps.Actors.Go(ctx, "request-join", func(ctx context.Context) {
		r.mailbox.Send(ctx, joinEvent{self, r.collectFromPeers(ctx, Message{Sender: self, Type: MsgJoin})})
	})
	return true
}

// completeJoin ends an attempt: the disk has the membership if a majority has granted it.
func (r *Replica) completeJoin(ctx context.Context, e joinEvent) {
	decide := func(acceptor Acceptor) (Acceptor, bool) { return acceptor.CompleteJoin(e.self, e.replies) }
	done := func(_ context.Context, ok bool) {
		r.joining.inProgress = false
		if ok {
			r.deps.Log.Info("joined as a static member", "member_id", e.self.MemberID, "incarnation", e.self.Incarnation, "revision", r.acceptor.Position.Revision)
		}
	}
	r.enqueueTransition(ctx, transition{decide: decide, done: done, deadline: r.now() + messageTimeout})
}

// rejoin begins anew under another disk ID once the member was removed.
func (r *Replica) rejoin(ctx context.Context, now time.Duration) {
	diskID := newDiskID()
	decide := func(acceptor Acceptor) (Acceptor, bool) {
		if !acceptor.Removed() {
			return acceptor, false
		}
		return acceptor.Rejoining(diskID), true
	}
	r.enqueueTransition(ctx, transition{decide: decide, done: func(context.Context, bool) {}, deadline: now + messageTimeout})
}
