package modelcheck

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// later is beyond every limit of the proposer's.
const later = time.Minute

// never is when orders end.
const never = 1 << 62

// The kinds of event.
const (
	deliver = "deliver"
	double  = "deliver and keep"
	tear    = "deliver, and power is lost between word and oath"
	crash   = "crash"
	wipe    = "lose the disk"
	timeout = "time out"
	give    = "order"
	ask     = "look"
	show    = "answer the look"
)

// event is one thing that may happen next.
type event struct {
	kind string
	node int
	n    int      // which message or order
	what *message // that is delivered
}

// String describes the event.
func (e event) String() string {
	out := fmt.Sprintf("%s: node %d", e.kind, e.node+1)
	if e.what != nil {
		out += " " + e.what.String()
	}
	return out
}

// String describes the message.
func (m message) String() string {
	if m.ballot != nil {
		return fmt.Sprintf("from %d %s epoch %d mark %v slots %v", m.from+1, m.ballot.Act, m.ballot.Epoch, m.ballot.Mark, consensus.Slots(m.ballot.Word.Slots))
	}
	return fmt.Sprintf("from %d vote %s epoch %d ok %v promised %d holds %v", m.from+1, m.vote.Act, m.vote.Epoch, m.vote.OK, m.vote.Promised, m.vote.Mark)
}

// events lists all that may happen next. A loss is a message that is never delivered, a
// cut one that is delivered late: both are among the runs without any event of theirs.
func (s *state) events() (out []event) {
	for i, m := range s.flight {
		out = append(out, event{kind: deliver, node: m.to, n: i, what: &s.flight[i]})
		if s.left.Doubled > 0 {
			out = append(out, event{kind: double, node: m.to, n: i, what: &s.flight[i]})
		}
		if s.left.Crashes > 0 && m.ballot != nil {
			if next, _ := s.nodes[m.to].memory.On(*m.ballot); next.WordDirty && next.OathDirty {
				out = append(out, event{kind: tear, node: m.to, n: i, what: &s.flight[i]})
			}
		}
	}
	for i, n := range s.nodes {
		if s.left.Crashes > 0 {
			out = append(out, event{kind: crash, node: i})
		}
		if s.left.Wiped > 0 && slices.Contains(s.scenario.Wiped, n.addr) {
			out = append(out, event{kind: wipe, node: i})
		}
		if s.left.Timeouts > 0 && n.memory.Phase == consensus.Established {
			out = append(out, event{kind: timeout, node: i})
		}
	}
	out = append(out, s.looks()...)
	for i, o := range s.scenario.Orders {
		ready := !o.AfterWipe || s.drawn > 0
		if s.open&(1<<i) != 0 && ready && s.nodes[o.Node].memory.Phase == consensus.Established {
			out = append(out, event{kind: give, node: o.Node, n: i})
		}
	}
	return out
}

// looks lists what a look that is under way, or may begin, has happen next.
func (s *state) looks() (out []event) {
	for i, n := range s.nodes {
		if !s.look.open && s.left.Looks > 0 && n.memory.Phase == consensus.Established {
			out = append(out, event{kind: ask, node: i})
		}
		if s.look.open && s.look.answered&(1<<i) == 0 {
			out = append(out, event{kind: show, node: i})
		}
	}
	return out
}

// step is the state after an event.
func (s *state) step(e event) *state {
	next := s.copied()
	switch e.kind {
	case deliver, double, tear:
		m := s.flight[e.n]
		if e.kind == double {
			next.left.Doubled--
		} else {
			next.flight = slices.Delete(slices.Clone(s.flight), e.n, e.n+1)
		}
		next.take(m, e.kind == tear)
	case crash:
		next.left.Crashes--
		n := s.nodes[e.node]
		next.nodes[e.node] = boot(n.addr, n.disk, n.now)
	case wipe:
		next.left.Wiped--
		next.nodes[e.node] = boot(s.nodes[e.node].addr, consensus.Start{}.Empty(drawnID(s.drawn)), s.nodes[e.node].now)
		next.drawn++
	case timeout:
		next.left.Timeouts--
		next.proposer(e.node, func(n *node) []consensus.Outcome {
			n.now += later
			return n.proposer.Tick(n.now)
		})
	case ask:
		next.beginLook(e.node)
	case show:
		next.answerLook(e.node)
	case give:
		next.open &^= 1 << e.n
		o := s.scenario.Orders[e.n].order(s)
		o.ID, o.Until = uint64(e.n+1), never
		next.proposer(e.node, func(n *node) []consensus.Outcome { return n.proposer.Take(o, n.now) })
	}
	next.forget()
	return next
}

// take has a node take a message.
func (s *state) take(m message, torn bool) {
	if m.vote != nil {
		s.proposer(m.to, func(n *node) []consensus.Outcome {
			if n.memory.Phase != consensus.Established {
				return nil
			}
			return n.proposer.Hear(*m.vote, n.now)
		})
		return
	}
	old := s.nodes[m.to]
	acceptor, vote := old.memory.On(*m.ballot)
	if torn {
		s.left.Crashes--
		disk := old.disk
		disk.Mark, disk.Word = acceptor.Mark, acceptor.Word
		s.nodes[m.to] = boot(old.addr, disk, old.now)
		return
	}
	s.save(m.to, acceptor)
	s.settles(acceptor)
	if v := vote.By(config.Member{Slot: m.slot, ID: m.id}); v != nil && m.ballot.Act != consensus.Settle {
		s.post(message{from: m.to, to: m.from, vote: v})
	}
}

// save puts on disk what an acceptor says must be there, and goes on with it.
func (s *state) save(at int, acceptor consensus.Acceptor) {
	old := s.nodes[at]
	n := &node{addr: old.addr, disk: old.disk, memory: acceptor, proposer: old.proposer.Clone(), now: old.now}
	if acceptor.WordDirty {
		n.disk.Mark, n.disk.Word = acceptor.Mark, acceptor.Word
	}
	if acceptor.OathDirty {
		n.disk.Self, n.disk.Phase, n.disk.Promised, n.disk.Seats = acceptor.Self, acceptor.Phase, acceptor.Promised, acceptor.Seats
	}
	n.memory.WordDirty, n.memory.OathDirty = false, false
	n.proposer.Follow(n.memory, n.now)
	s.nodes[at] = n.sealed()
	if n.memory.Struck() {
		s.save(at, n.memory.Afresh(drawnID(s.drawn)))
		s.drawn++
	}
}

// proposer lets a node's proposer do something, and carries out what it wants.
func (s *state) proposer(at int, do func(*node) []consensus.Outcome) {
	n := *s.nodes[at]
	n.proposer = n.proposer.Clone()
	outs := do(&n)
	s.nodes[at] = n.sealed()
	for _, o := range outs {
		if o.Answer != nil {
			s.answer(*o.Answer)
		}
		if o.Ballot == nil {
			continue
		}
		s.proposed(at, *o.Ballot)
		own := -1
		for i, m := range o.To {
			switch to := s.member(at, m); {
			case to == at:
				own = i
			case to >= 0:
				s.post(message{from: at, to: to, ballot: o.Ballot, slot: m.Slot, id: m.ID})
			}
		}
		if own >= 0 {
			s.takeOwn(at, *o.Ballot, o.To[own])
		}
	}
}

// takeOwn has a node's own acceptor take its proposer's ballot, and the proposer the vote, at once:
// both are one core's, and no other message need come between.
func (s *state) takeOwn(at int, b consensus.Ballot, m config.Member) {
	acceptor, vote := s.nodes[at].memory.On(b)
	s.save(at, acceptor)
	s.settles(acceptor)
	if v := vote.By(m); v != nil && b.Act != consensus.Settle {
		s.proposer(at, func(n *node) []consensus.Outcome { return n.proposer.Hear(*v, n.now) })
	}
}

// member is the node that is asked for a member: the own one, or whoever is at the
// member's address now.
func (s *state) member(at int, m config.Member) int {
	if self := s.nodes[at].memory.Self; self.Slot == m.Slot && self.ID == m.ID {
		return at
	}
	return s.at(m.Addr)
}

// forget drops messages that nobody heeds any more, so that states merge: what is refused
// and whose refusal nobody waits for, and votes for an epoch that is over.
func (s *state) forget() {
	heeded := func(m message) bool {
		if m.vote != nil {
			return s.nodes[m.to].proposer.Heeds(*m.vote)
		}
		to, b := s.nodes[m.to].memory, m.ballot
		switch b.Act {
		case consensus.Settle:
			return to.Mark.Compare(b.Mark) < 0 || to.Settled < b.Mark.Stamp
		case consensus.Propose:
			stale := to.Promised > b.Epoch || to.Mark.Compare(b.Mark) > 0
			return !stale || s.nodes[m.from].proposer.Holds(b.Epoch)
		}
		return to.Promised <= b.Epoch || s.nodes[m.from].proposer.Holds(b.Epoch)
	}
	if slices.ContainsFunc(s.flight, func(m message) bool { return !heeded(m) }) {
		s.flight = slices.DeleteFunc(slices.Clone(s.flight), func(m message) bool { return !heeded(m) })
	}
}

// proposed notes a proposal: an epoch is one node's, and a mark one word's.
func (s *state) proposed(at int, b consensus.Ballot) {
	if b.Act == consensus.Settle {
		s.settle(b.Mark.Stamp, b.Word)
	}
	if b.Act != consensus.Propose {
		return
	}
	p := proposal{mark: b.Mark, node: at, word: wordDigest(b.Word)}
	for _, o := range s.proposals {
		if o.mark.Epoch == p.mark.Epoch && o.node != p.node {
			s.breaks("two proposers propose in epoch %d", p.mark.Epoch)
		}
		if o.mark == p.mark && o.word != p.word {
			s.breaks("two words under mark %v", p.mark)
		}
	}
	if !slices.Contains(s.proposals, p) {
		s.proposals = append(slices.Clone(s.proposals), p)
		slices.SortFunc(s.proposals, func(a, b proposal) int { return a.mark.Compare(b.mark) })
	}
}

func wordDigest(w config.Word) digest { return digestOf(consensus.AppendWord(nil, w)) }

func (s *state) settles(v consensus.Acceptor) {
	if v.Settled != 0 && v.Settled == v.Mark.Stamp {
		s.settle(v.Settled, v.Word)
	}
}

// settle notes a word that somebody takes for settled: one under each stamp.
func (s *state) settle(stamp uint64, w config.Word) {
	is := wordDigest(w)
	old, ok := s.settled[stamp]
	switch {
	case ok && old != is:
		s.breaks("two words are settled under stamp %d", stamp)
	case !ok:
		s.settled = maps.Clone(s.settled)
		s.settled[stamp] = is
	}
}

// answer notes what an operator is told.
func (s *state) answer(a consensus.Answer) {
	given := s.scenario.Orders[a.ID-1]
	s.answered = append(s.answered, given.Name+" "+string(a.Result))
	if a.Result != consensus.Taken {
		if given.Generation != 0 && a.Result == consensus.Conflict {
			return
		}
		for _, o := range s.acked {
			if given.Generation != 0 && o.generation == given.Generation && o.digest == given.Text {
				s.breaks("number %d with %q was acknowledged, and its repeat is answered %s", o.generation, o.digest, a.Result)
			}
		}
		return
	}
	s.settle(a.Word.Stamp, a.Word)
	is := acked{generation: given.Generation, stamp: a.Word.Stamp, digest: given.Text}
	for _, o := range s.acked {
		if is.generation != 0 && o.generation == is.generation && o.digest != is.digest {
			s.breaks("number %d is acknowledged with %q and with %q", is.generation, o.digest, is.digest)
		}
	}
	if given.Generation != 0 && a.Word.Generation == given.Generation && !bytes.Equal(a.Word.Desired, []byte(given.Text)) {
		s.breaks("number %d with %q is acknowledged, and %q is held", given.Generation, given.Text, a.Word.Desired)
	}
	s.acked = append(slices.Clone(s.acked), is)
	slices.SortFunc(s.acked, func(a, b acked) int { return bytes.Compare([]byte(fmt.Sprint(a)), []byte(fmt.Sprint(b))) })
}

func (s *state) breaks(format string, args ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf(format, args...)
	}
}
