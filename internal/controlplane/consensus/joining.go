package consensus

import (
	"context"
	"math/rand/v2"
	"time"
)

func (r *Replica) collectFromPeers(ctx context.Context, message Message) map[int]Reply {
	replies := r.collectReplies(ctx, message, nil)
	delete(replies, r.Acceptor().Self.MemberID)
	return replies
}

// tryEstablish goes on with a try for the seat: the core is born, or asks the others for
// its seat.
func (r *Replica) tryEstablish(ctx context.Context, replies map[int]Reply) {
	decide := func(acceptor Acceptor) (Acceptor, bool) {
		if acceptor.Phase == PhaseEstablished {
			return acceptor, false
		}
		return acceptor.Establish(replies)
	}
	done := func(ctx context.Context, ok bool) {
		if ok {
			r.Log.Info("born", "slot", r.acceptor.Self.MemberID, "slots", r.acceptor.StaticSize)
		}
		r.joining = !ok && r.requestJoin(ctx, replies)
	}
	r.enqueueTransition(ctx, transition{decide: decide, done: done, deadline: r.now() + messageTimeout})
}

// requestJoin asks the others for the seat; false if it may not be asked for yet.
func (r *Replica) requestJoin(ctx context.Context, replies map[int]Reply) bool {
	if _, established := r.acceptor.Establish(replies); established || r.acceptor.Phase == PhaseEstablished {
		return false
	}
	self, ready := r.acceptor.NextIncarnation(replies)
	if !ready {
		return false
	}
	r.requestedIncarnation = max(r.requestedIncarnation+1, self.Incarnation)
	self.Incarnation = r.requestedIncarnation
	r.Actors.Go(ctx, "sit", func(ctx context.Context) {
		r.mailbox.Send(ctx, joinEvent{self, r.collectFromPeers(ctx, Message{Sender: self, Type: MsgJoin})})
	})
	return true
}

// completeJoin takes the seat if a majority has granted it.
func (r *Replica) completeJoin(ctx context.Context, m joinEvent) {
	decide := func(acceptor Acceptor) (Acceptor, bool) { return acceptor.CompleteJoin(m.self, m.replies) }
	done := func(_ context.Context, ok bool) {
		r.joining = false
		if ok {
			r.Log.Info("took the seat", "slot", m.self.MemberID, "incarnation", m.self.Incarnation, "stamp", r.acceptor.Position.Revision)
		}
	}
	r.enqueueTransition(ctx, transition{decide: decide, done: done, deadline: r.now() + messageTimeout})
}

// rejoin begins anew under another identity once the slot was struck.
func (r *Replica) rejoin(ctx context.Context, now time.Duration) {
	id := rand.Uint64() | 1
	decide := func(acceptor Acceptor) (Acceptor, bool) {
		if !acceptor.Removed() {
			return acceptor, false
		}
		return acceptor.Rejoining(id), true
	}
	r.enqueueTransition(ctx, transition{decide: decide, done: func(context.Context, bool) {}, deadline: now + messageTimeout})
}
