package membership

// Talk is a decision value: what is told to one process, by what its responses have
// shown that it has. Whoever heartbeats keeps one for each address; the zero value is for
// one that has nothing, or whose version does not understand differences. What is
// taken for known may be wrong, since that process may have started anew: then it asks
// for the whole. (DESIGN 7.1)
type Talk struct {
	// boot and rev are of the node that it was told, mark of the seat.
	boot, rev, mark uint64
	// digest is that of the seats that it knows.
	digest uint64
}

// Tell cuts a heartbeat that tells all to what is to be told; due tells whether the
// tallies are.
func (t Talk) Tell(all Heartbeat, due bool) Heartbeat {
	if all.Digest == t.digest {
		all.Know = nil
	}
	if n := all.Node; n != nil && t.boot != 0 && n.Boot == t.boot && n.Rev == t.rev {
		p := n.Pulse(due)
		all.Node, all.Pulse = nil, &p
	}
	if c := all.Seat; c != nil && c.Mark != 0 && c.Mark == t.mark {
		all.Seat, all.Same, all.Wall = nil, c.Mark, c.Wall
	}
	return all
}

// Answered takes the response to what was told and returns the next value; again
// tells whether to heartbeat at once: something was held back that is not known there.
func (t Talk) Answered(told, r Heartbeat) (next Talk, again bool) {
	next.digest = r.Digest
	again = told.Digest == t.digest && told.Digest != r.Digest
	if r.Digest == 0 || r.Whole {
		return next, again || told.Pulse != nil || told.Same != 0
	}
	next.boot, next.rev, next.mark = t.boot, t.rev, t.mark
	if told.Node != nil {
		next.boot, next.rev = told.Node.Boot, told.Node.Rev
	}
	if told.Seat != nil {
		next.mark = told.Seat.Mark
	}
	return next, again
}
