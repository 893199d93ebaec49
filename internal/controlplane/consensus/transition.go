package consensus

import (
	"context"
	"slices"
	"time"
)

// mostTransitions bounds how many changes wait for the disk. What is turned away is
// sent again by whoever needs it. (ours)
const mostTransitions = 64

// transition is one change of the acceptor. It is decided on the state that is on disk,
// once the disk is free, so at most one write is under way and their order is kept.
type transition struct {
	// decide makes the next state; false if there is nothing to change.
	decide func(v Acceptor) (next Acceptor, ok bool)
	// done is told once the next state is on disk, or that it will not be.
	done func(ctx context.Context, ok bool)
	// until is when nobody waits for it any more, after the keeper's start.
	until time.Duration
}

// submit queues a change of the acceptor. Nothing of it may be told before done.
func (k *Keeper) submit(ctx context.Context, t transition) {
	k.expire(ctx)
	if len(k.waiting) >= mostTransitions {
		t.done(ctx, false)
		return
	}
	k.waiting = append(k.waiting, t)
	k.advance(ctx)
}

// expire ends what waits for the disk and nobody waits for any more.
func (k *Keeper) expire(ctx context.Context) {
	now := k.now()
	var ended []transition
	k.waiting = slices.DeleteFunc(k.waiting, func(t transition) bool {
		if now <= t.until {
			return false
		}
		ended = append(ended, t)
		return true
	})
	for _, t := range ended {
		t.done(ctx, false)
	}
}

// advance goes on with what waits while the disk is free.
func (k *Keeper) advance(ctx context.Context) {
	k.expire(ctx)
	for !k.saving && len(k.waiting) > 0 {
		t := k.waiting[0]
		k.waiting = slices.Delete(k.waiting, 0, 1)
		next, ok := t.decide(k.acceptor)
		if !ok {
			t.done(ctx, false)
			continue
		}
		if next.OathDirty || next.WordDirty {
			k.save(ctx, next, t.done)
			return
		}
		k.commit(ctx, next)
		t.done(ctx, true)
	}
}

// save writes a state beside the keeper's thread, which goes on meanwhile: a stalled
// disk must not keep it from answering reads and from telling its state.
func (k *Keeper) save(ctx context.Context, next Acceptor, done func(ctx context.Context, ok bool)) {
	k.saving = true
	k.note(k.Health().WriteBegan(k.now()))
	k.Launcher.Go(ctx, "save", func(ctx context.Context) {
		err := k.disk.Save(next)
		k.box.Send(ctx, msgSaved{next: next, err: err, done: done})
	})
}

// saved takes the end of a write.
func (k *Keeper) saved(ctx context.Context, m msgSaved) {
	k.saving = false
	k.note(k.Health().WriteEnded(m.err == nil, k.now()))
	if m.err != nil {
		k.Log.Error("the disk does not take the register", "error", m.err)
	} else {
		k.commit(ctx, m.next)
	}
	m.done(ctx, m.err == nil)
	k.advance(ctx)
}

// commit takes a state that is on disk as the acceptor's.
func (k *Keeper) commit(ctx context.Context, next Acceptor) {
	next.OathDirty, next.WordDirty = false, false
	k.acceptor = next
	k.proposer.Follow(next, k.now())
	k.show()
	if v := k.acceptor; v.Settled == v.Mark.Stamp {
		k.tell(ctx, v.Word)
	}
}

// probe writes the oath once more while the last write failed or took too long, to
// find out when the disk takes writes again.
func (k *Keeper) probe(ctx context.Context, now time.Duration) {
	if k.saving || k.Health().Durable(now) || now-k.probed < probeEvery {
		return
	}
	k.probed = now
	rewrite := func(v Acceptor) (Acceptor, bool) {
		v.OathDirty = true
		return v, true
	}
	k.submit(ctx, transition{decide: rewrite, done: func(context.Context, bool) {}, until: now + voteLimit})
}
