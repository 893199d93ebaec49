package consensus

import (
	"context"
	"slices"
	"time"
)

const (
	// maxTransitions bounds how many transitions wait for the disk. What is turned away is sent
	// again by whoever needs it.
	maxTransitions = 64 // (ours)
	// probeInterval is how often a disk with a fault is tried.
	probeInterval = 500 * time.Millisecond // (ours)
)

// transition is one change of the acceptor. It is decided on the state that is on disk, once
// the disk is free: at most one write is under way, and their order is kept.
type transition struct {
	// decide makes the next state; false if there is nothing to change.
	decide func(acceptor Acceptor) (next Acceptor, ok bool)
	// done is called once the next state is on disk, or when it will not be.
	done func(ctx context.Context, ok bool)
	// deadline is when nobody waits for it any more, after the replica's start.
	deadline time.Duration
}

// transitionQueue holds the transitions that wait for the disk.
type transitionQueue struct {
	waiting []transition
	// saving is whether a write to disk is under way.
	saving bool
}

// expire takes out the transitions that nobody waits for any more.
func (q *transitionQueue) expire(now time.Duration) (expired []transition) {
	q.waiting = slices.DeleteFunc(q.waiting, func(t transition) bool {
		if now <= t.deadline {
			return false
		}
		expired = append(expired, t)
		return true
	})
	return expired
}

// next takes out the first transition; false if there is none or the disk is busy.
func (q *transitionQueue) next() (t transition, ok bool) {
	if q.saving || len(q.waiting) == 0 {
		return transition{}, false
	}
	t = q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return t, true
}

// enqueueTransition queues a change of the acceptor. Nothing of it may be sent before it is
// done.
func (r *Replica) enqueueTransition(ctx context.Context, t transition) {
	r.expireTransitions(ctx)
	if len(r.transitions.waiting) >= maxTransitions {
		t.done(ctx, false)
		return
	}
	r.transitions.waiting = append(r.transitions.waiting, t)
	r.advanceTransitions(ctx)
}

// expireTransitions ends the transitions that nobody waits for any more.
func (r *Replica) expireTransitions(ctx context.Context) {
	for _, t := range r.transitions.expire(r.now()) {
		t.done(ctx, false)
	}
}

// advanceTransitions goes on with the transitions until one of them has to be written.
func (r *Replica) advanceTransitions(ctx context.Context) {
	r.expireTransitions(ctx)
	for t, ok := r.transitions.next(); ok; t, ok = r.transitions.next() {
		next, changed := t.decide(r.acceptor)
		if !changed {
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

// save writes a state on another goroutine: a stalled disk must not keep the replica from
// answering reads and from reporting its health.
func (r *Replica) save(ctx context.Context, next Acceptor, done func(ctx context.Context, ok bool)) {
	r.transitions.saving = true
	r.setHealth(r.Health().WriteStarted(r.now()))
	r.deps.Actors.Go(ctx, "save", func(ctx context.Context) {
		err := r.store.save(next)
		r.mailbox.Send(ctx, savedEvent{next: next, err: err, done: done})
	})
}

// handleSavedEvent takes the end of a write.
func (r *Replica) handleSavedEvent(ctx context.Context, e savedEvent) {
	r.transitions.saving = false
	r.setHealth(r.Health().WriteEnded(e.err == nil, r.now()))
	if e.err != nil {
		r.deps.Log.Error("saving the acceptor failed", "error", e.err)
	} else {
		r.install(ctx, e.next)
	}
	e.done(ctx, e.err == nil)
	r.advanceTransitions(ctx)
}

// install takes a state that is on disk as the acceptor's.
func (r *Replica) install(ctx context.Context, next Acceptor) {
	next.PromiseDirty, next.StateDirty = false, false
	r.acceptor = next
	r.proposer.FollowAcceptor(next, r.now())
	r.publishAcceptor()
	if next.Committed == next.Position.Revision {
		r.deliver(ctx, next.State)
	}
}

// probeDisk writes the promise once more while the last write failed or took too long, to find
// out when the disk takes writes again.
func (r *Replica) probeDisk(ctx context.Context, now time.Duration) {
	if r.transitions.saving || r.Health().DiskHealthy(now) || now-r.lastProbe < probeInterval {
		return
	}
	r.lastProbe = now
	rewrite := func(acceptor Acceptor) (Acceptor, bool) {
		acceptor.PromiseDirty = true
		return acceptor, true
	}
	r.enqueueTransition(ctx, transition{decide: rewrite, done: func(context.Context, bool) {}, deadline: now + messageTimeout})
}
