package consensus

import (
	"context"
	"slices"
	"time"
)

// maxTransitions bounds how many changes wait for the disk. What is turned away is
// sent again by whoever needs it. (ours)
const maxTransitions = 64

// transition is one change of the acceptor. It is decided on the state that is on disk,
// once the disk is free, so at most one write is under way and their order is kept.
type transition struct {
	// decide makes the next state; false if there is nothing to change.
	decide func(acceptor Acceptor) (next Acceptor, ok bool)
	// done is told once the next state is on disk, or that it will not be.
	done func(ctx context.Context, ok bool)
	// deadline is when nobody waits for it any more, after the keeper's start.
	deadline time.Duration
}

// enqueueTransition queues a change of the acceptor. Nothing of it may be told before done.
func (r *Replica) enqueueTransition(ctx context.Context, t transition) {
	r.expireTransitions(ctx)
	if len(r.transitions) >= maxTransitions {
		t.done(ctx, false)
		return
	}
	r.transitions = append(r.transitions, t)
	r.advanceTransitions(ctx)
}

// expireTransitions ends what waits for the disk and nobody waits for any more.
func (r *Replica) expireTransitions(ctx context.Context) {
	now := r.now()
	var ended []transition
	r.transitions = slices.DeleteFunc(r.transitions, func(t transition) bool {
		if now <= t.deadline {
			return false
		}
		ended = append(ended, t)
		return true
	})
	for _, t := range ended {
		t.done(ctx, false)
	}
}

// advanceTransitions goes on with what waits while the disk is free.
func (r *Replica) advanceTransitions(ctx context.Context) {
	r.expireTransitions(ctx)
	for !r.saving && len(r.transitions) > 0 {
		t := r.transitions[0]
		r.transitions = slices.Delete(r.transitions, 0, 1)
		next, ok := t.decide(r.acceptor)
		if !ok {
			t.done(ctx, false)
			continue
		}
		if next.PromiseDirty || next.StateDirty {
			r.save(ctx, next, t.done)
			return
		}
		r.install(ctx, next)
		t.done(ctx, true)
	}
}

// save writes a state beside the keeper's thread, which goes on meanwhile: a stalled
// disk must not keep it from answering reads and from telling its state.
func (r *Replica) save(ctx context.Context, next Acceptor, done func(ctx context.Context, ok bool)) {
	r.saving = true
	r.setHealth(r.Health().WriteStarted(r.now()))
	r.Actors.Go(ctx, "save", func(ctx context.Context) {
		err := r.store.Save(next)
		r.mailbox.Send(ctx, savedEvent{next: next, err: err, done: done})
	})
}

// handleSavedEvent takes the end of a write.
func (r *Replica) handleSavedEvent(ctx context.Context, m savedEvent) {
	r.saving = false
	r.setHealth(r.Health().WriteEnded(m.err == nil, r.now()))
	if m.err != nil {
		r.Log.Error("the disk does not take the register", "error", m.err)
	} else {
		r.install(ctx, m.next)
	}
	m.done(ctx, m.err == nil)
	r.advanceTransitions(ctx)
}

// install takes a state that is on disk as the acceptor's.
func (r *Replica) install(ctx context.Context, next Acceptor) {
	next.PromiseDirty, next.StateDirty = false, false
	r.acceptor = next
	r.proposer.FollowAcceptor(next, r.now())
	r.publishAcceptor()
	if acceptor := r.acceptor; acceptor.Committed == acceptor.Position.Revision {
		r.deliver(ctx, acceptor.State)
	}
}

// probeDisk writes the oath once more while the last write failed or took too long, to
// find out when the disk takes writes again.
func (r *Replica) probeDisk(ctx context.Context, now time.Duration) {
	if r.saving || r.Health().DiskHealthy(now) || now-r.lastProbe < probeInterval {
		return
	}
	r.lastProbe = now
	rewrite := func(acceptor Acceptor) (Acceptor, bool) {
		acceptor.PromiseDirty = true
		return acceptor, true
	}
	r.enqueueTransition(ctx, transition{decide: rewrite, done: func(context.Context, bool) {}, deadline: now + messageTimeout})
}
