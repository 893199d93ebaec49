package consensus

import (
	"context"
	"time"
)

// attemptInterval is the minimum interval between a replica's attempts to join with an empty
// disk as a static member, and between the coordinator's attempts to commit an uncommitted
// state.
const attemptInterval = 300 * time.Millisecond

// joinAttempts tracks the attempts to join with an empty disk as a static member. The replies
// of a replica that joined under a lower incarnation than was granted to a later attempt would
// not be counted. Therefore only one attempt is in progress at a time, and each attempt
// requests a higher incarnation.
type joinAttempts struct {
	inProgress bool
	// incarnation is the highest incarnation requested so far.
	incarnation uint64
}

// nextIncarnation returns the next incarnation to request, which is at least the given one.
func (j *joinAttempts) nextIncarnation(minimum uint64) uint64 {
	j.incarnation = max(j.incarnation+1, minimum)
	return j.incarnation
}

// startJoin starts an attempt by reading from the other members, unless an attempt is in
// progress or the last one was too recent.
func (r *Replica) startJoin(ctx context.Context, now time.Duration) {
	if !r.joining.inProgress && (now-r.lastAttempt >= attemptInterval || r.lastAttempt == 0) {
		r.lastAttempt, r.joining.inProgress = now, true
		r.deps.Actors.Go(ctx, "start-join", func(ctx context.Context) {
			r.mailbox.Send(ctx, bootstrapEvent{r.collectFromPeers(ctx, Message{Sender: r.Acceptor().Self, Type: MsgRead})})
		})
	}
}

// collectFromPeers sends a message to all other members and returns the replies received in
// time.
func (r *Replica) collectFromPeers(ctx context.Context, message Message) map[int]Reply {
	replies := r.members.collectReplies(ctx, message, nil)
	delete(replies, r.Acceptor().Self.MemberID)
	return replies
}

// tryEstablish continues an attempt with the replies of the other members. It establishes the
// acceptor, or else requests that the local disk replace the one that the other members have
// recorded.
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

// requestJoin requests the static membership from the other members. It returns false if it
// sends no request. That is the case if too few members have answered, or if the acceptor needs
// no request: it is established, or the replies allow it to be established but that could not
// be saved.
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

// completeJoin finishes an attempt. The acceptor joins if a majority has granted the request.
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

// rejoin gives a removed member a new disk ID, under which it requests membership again.
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
