package consensus

import (
	"context"
	"slices"
	"time"
)

const (
	// maxTransitions bounds the number of transitions that wait for the disk. The sender of a
	// rejected message sends it again if necessary.
	maxTransitions = 64
	// diskProbeInterval is the interval between probe writes to a faulty disk.
	diskProbeInterval = 500 * time.Millisecond
)

// transition is a change of the acceptor. It is computed from the state on disk once the disk
// is idle. At most one write is in progress, and transitions are applied in order.
type transition struct {
	// decide returns the next state, or false if there is nothing to change.
	decide func(acceptor Acceptor) (next Acceptor, ok bool)
	// done is called once the next state is on disk, or with false if the transition was not
	// applied.
	done func(ctx context.Context, ok bool)
	// deadline is the time, since the replica's start, after which the transition is discarded,
	// because no caller waits for it any more.
	deadline time.Duration
}

// transitionQueue holds the transitions that wait for the disk.
type transitionQueue struct {
	waiting []transition
	// saving is set while a write to disk is in progress.
	saving bool
}

// expire removes and returns the transitions whose deadline has passed.
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

// next removes and returns the first transition. It returns false if there is none or if a
// write is in progress.
func (q *transitionQueue) next() (t transition, ok bool) {
	if q.saving || len(q.waiting) == 0 {
		return transition{}, false
	}
	t = q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return t, true
}

// enqueueTransition queues a change of the acceptor. Nothing that depends on the change may be
// sent before done is called.
func (r *Replica) enqueueTransition(ctx context.Context, t transition) {
	r.expireTransitions(ctx)
	if len(r.transitions.waiting) >= maxTransitions {
		t.done(ctx, false)
		return
	}
	r.transitions.waiting = append(r.transitions.waiting, t)
	r.advanceTransitions(ctx)
}

// expireTransitions cancels the transitions whose deadline has passed.
func (r *Replica) expireTransitions(ctx context.Context) {
	for _, t := range r.transitions.expire(r.now()) {
		t.done(ctx, false)
	}
}

// advanceTransitions applies the queued transitions until one of them has to be written to
// disk.
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

// save writes a state on another goroutine, so that a stalled disk does not keep the replica
// from answering reads and reporting its health.
func (r *Replica) save(ctx context.Context, next Acceptor, done func(ctx context.Context, ok bool)) {
	r.transitions.saving = true
	r.setHealth(r.Health().WriteStarted(r.now()))
	r.deps.Actors.Go(ctx, "save", func(ctx context.Context) {
		err := r.store.save(next)
		r.mailbox.Send(ctx, savedEvent{next: next, err: err, done: done})
	})
}

// handleSavedEvent processes the completion of a write.
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

// install makes a state that is on disk the current state of the acceptor.
func (r *Replica) install(ctx context.Context, next Acceptor) {
	next.PromiseDirty, next.StateDirty = false, false
	r.acceptor = next
	r.proposer.FollowAcceptor(next, r.now())
	r.publishAcceptor()
	if next.Committed == next.Position.Revision {
		r.deliver(ctx, next.State)
	}
}

// probeDisk writes the promise again if the last write failed or took too long, to detect when
// the disk accepts writes again.
func (r *Replica) probeDisk(ctx context.Context, now time.Duration) {
	if r.transitions.saving || r.Health().DiskHealthy(now) || now-r.lastDiskProbe < diskProbeInterval {
		return
	}
	r.lastDiskProbe = now
	rewrite := func(acceptor Acceptor) (Acceptor, bool) {
		acceptor.PromiseDirty = true
		return acceptor, true
	}
	r.enqueueTransition(ctx, transition{decide: rewrite, done: func(context.Context, bool) {}, deadline: now + messageTimeout})
}
