package consensus

import (
	"context"
	"math/rand/v2"
	"time"
)

func (k *Keeper) others(ctx context.Context, b Ballot) map[int]Vote {
	votes := k.gather(ctx, b, nil)
	delete(votes, k.Acceptor().Self.Slot)
	return votes
}

// tryBirth goes on with a try for the seat: the core is born, or asks the others for
// its seat.
func (k *Keeper) tryBirth(ctx context.Context, votes map[int]Vote) {
	decide := func(v Acceptor) (Acceptor, bool) {
		if v.Phase == Established {
			return v, false
		}
		return v.Born(votes)
	}
	done := func(ctx context.Context, ok bool) {
		if ok {
			k.Log.Info("born", "slot", k.acceptor.Self.Slot, "slots", k.acceptor.Founded)
		}
		k.trying = !ok && k.askForSeat(ctx, votes)
	}
	k.submit(ctx, transition{decide: decide, done: done, until: k.now() + voteLimit})
}

// askForSeat asks the others for the seat; false if it may not be asked for yet.
func (k *Keeper) askForSeat(ctx context.Context, votes map[int]Vote) bool {
	if _, born := k.acceptor.Born(votes); born || k.acceptor.Phase == Established {
		return false
	}
	self, may := k.acceptor.Claimant(votes)
	if !may {
		return false
	}
	k.asked = max(k.asked+1, self.Inc)
	self.Inc = k.asked
	k.Launcher.Go(ctx, "sit", func(ctx context.Context) {
		k.box.Send(ctx, msgSits{self, k.others(ctx, Ballot{From: self, Act: Sit})})
	})
	return true
}

// trySeat takes the seat if a majority has granted it.
func (k *Keeper) trySeat(ctx context.Context, m msgSits) {
	decide := func(v Acceptor) (Acceptor, bool) { return v.Seated(m.self, m.votes) }
	done := func(_ context.Context, ok bool) {
		k.trying = false
		if ok {
			k.Log.Info("took the seat", "slot", m.self.Slot, "incarnation", m.self.Inc, "stamp", k.acceptor.Mark.Stamp)
		}
	}
	k.submit(ctx, transition{decide: decide, done: done, until: k.now() + voteLimit})
}

// leave begins anew under another identity once the slot was struck.
func (k *Keeper) leave(ctx context.Context, now time.Duration) {
	id := rand.Uint64() | 1
	decide := func(v Acceptor) (Acceptor, bool) {
		if !v.Struck() {
			return v, false
		}
		return v.Afresh(id), true
	}
	k.submit(ctx, transition{decide: decide, done: func(context.Context, bool) {}, until: now + voteLimit})
}
