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
		return fmt.Sprintf("from %d %s epoch %d mark %v slots %v", m.from+1, m.ballot.Type, m.ballot.Term, m.ballot.Position, consensus.MemberIDs(m.ballot.State.Members))
	}
	return fmt.Sprintf("from %d vote %s epoch %d ok %v promised %d holds %v", m.from+1, m.vote.Type, m.vote.Term, m.vote.Granted, m.vote.Promised, m.vote.Position)
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
			if next, _ := s.nodes[m.to].memory.Step(*m.ballot); next.StateDirty && next.PromiseDirty {
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
		if s.left.Timeouts > 0 && n.memory.Phase == consensus.PhaseEstablished {
			out = append(out, event{kind: timeout, node: i})
		}
	}
	out = append(out, s.looks()...)
	for i, o := range s.scenario.Orders {
		ready := !o.AfterWipe || s.drawn > 0
		if s.open&(1<<i) != 0 && ready && s.nodes[o.Node].memory.Phase == consensus.PhaseEstablished {
			out = append(out, event{kind: give, node: o.Node, n: i})
		}
	}
	return out
}

// looks lists what a look that is under way, or may begin, has happen next.
func (s *state) looks() (out []event) {
	for i, n := range s.nodes {
		if !s.look.open && s.left.Looks > 0 && n.memory.Phase == consensus.PhaseEstablished {
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
		next.nodes[e.node] = boot(s.nodes[e.node].addr, consensus.Bootstrap{}.InitialState(drawnID(s.drawn)), s.nodes[e.node].now)
		next.drawn++
	case timeout:
		next.left.Timeouts--
		next.proposer(e.node, func(n *node) []consensus.Ready {
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
		o.ID, o.Deadline = uint64(e.n+1), never
		next.proposer(e.node, func(n *node) []consensus.Ready { return n.proposer.Enqueue(o, n.now) })
	}
	next.forget()
	return next
}

// take has a node take a message.
func (s *state) take(m message, torn bool) {
	if m.vote != nil {
		s.proposer(m.to, func(n *node) []consensus.Ready {
			if n.memory.Phase != consensus.PhaseEstablished {
				return nil
			}
			return n.proposer.HandleReply(*m.vote, n.now)
		})
		return
	}
	old := s.nodes[m.to]
	acceptor, vote := old.memory.Step(*m.ballot)
	if torn {
		s.left.Crashes--
		disk := old.disk
		disk.Position, disk.State = acceptor.Position, acceptor.State
		s.nodes[m.to] = boot(old.addr, disk, old.now)
		return
	}
	s.save(m.to, acceptor)
	s.settles(acceptor)
	if v := vote.FromMember(config.Member{MemberID: m.slot, DiskID: m.id}); v != nil && m.ballot.Type != consensus.MsgCommit {
		s.post(message{from: m.to, to: m.from, vote: v})
	}
}

// save puts on disk what an acceptor says must be there, and goes on with it.
func (s *state) save(at int, acceptor consensus.Acceptor) {
	old := s.nodes[at]
	n := &node{addr: old.addr, disk: old.disk, memory: acceptor, proposer: old.proposer.Clone(), now: old.now}
	if acceptor.StateDirty {
		n.disk.Position, n.disk.State = acceptor.Position, acceptor.State
	}
	if acceptor.PromiseDirty {
		n.disk.Self, n.disk.Phase, n.disk.Promised, n.disk.Members = acceptor.Self, acceptor.Phase, acceptor.Promised, acceptor.Members
	}
	n.memory.StateDirty, n.memory.PromiseDirty = false, false
	n.proposer.FollowAcceptor(n.memory, n.now)
	s.nodes[at] = n.sealed()
	if n.memory.Removed() {
		s.save(at, n.memory.Rejoining(drawnID(s.drawn)))
		s.drawn++
	}
}

// proposer lets a node's proposer do something, and carries out what it wants.
func (s *state) proposer(at int, do func(*node) []consensus.Ready) {
	n := *s.nodes[at]
	n.proposer = n.proposer.Clone()
	outs := do(&n)
	s.nodes[at] = n.sealed()
	for _, o := range outs {
		if o.Result != nil {
			s.answer(*o.Result)
		}
		if o.Message == nil {
			continue
		}
		s.proposed(at, *o.Message)
		own := -1
		for i, m := range o.To {
			switch to := s.member(at, m); {
			case to == at:
				own = i
			case to >= 0:
				s.post(message{from: at, to: to, ballot: o.Message, slot: m.MemberID, id: m.DiskID})
			}
		}
		if own >= 0 {
			s.takeOwn(at, *o.Message, o.To[own])
		}
	}
}

// takeOwn has a node's own acceptor take its proposer's ballot, and the proposer the vote, at once:
// both are one core's, and no other message need come between.
func (s *state) takeOwn(at int, b consensus.Message, m config.Member) {
	acceptor, vote := s.nodes[at].memory.Step(b)
	s.save(at, acceptor)
	s.settles(acceptor)
	if v := vote.FromMember(m); v != nil && b.Type != consensus.MsgCommit {
		s.proposer(at, func(n *node) []consensus.Ready { return n.proposer.HandleReply(*v, n.now) })
	}
}

// member is the node that is asked for a member: the own one, or whoever is at the
// member's address now.
func (s *state) member(at int, m config.Member) int {
	if self := s.nodes[at].memory.Self; self.MemberID == m.MemberID && self.DiskID == m.DiskID {
		return at
	}
	return s.at(m.Addr)
}

// forget drops messages that nobody heeds any more, so that states merge: what is refused
// and whose refusal nobody waits for, and votes for an epoch that is over.
func (s *state) forget() {
	heeded := func(m message) bool {
		if m.vote != nil {
			return s.nodes[m.to].proposer.CanAffect(*m.vote)
		}
		to, b := s.nodes[m.to].memory, m.ballot
		switch b.Type {
		case consensus.MsgCommit:
			return to.Position.Compare(b.Position) < 0 || to.Committed < b.Position.Revision
		case consensus.MsgAccept:
			stale := to.Promised > b.Term || to.Position.Compare(b.Position) > 0
			return !stale || s.nodes[m.from].proposer.HoldsTerm(b.Term)
		}
		return to.Promised <= b.Term || s.nodes[m.from].proposer.HoldsTerm(b.Term)
	}
	if slices.ContainsFunc(s.flight, func(m message) bool { return !heeded(m) }) {
		s.flight = slices.DeleteFunc(slices.Clone(s.flight), func(m message) bool { return !heeded(m) })
	}
}

// proposed notes a proposal: an epoch is one node's, and a mark one word's.
func (s *state) proposed(at int, b consensus.Message) {
	if b.Type == consensus.MsgCommit {
		s.settle(b.Position.Revision, b.State)
	}
	if b.Type != consensus.MsgAccept {
		return
	}
	p := proposal{mark: b.Position, node: at, word: wordDigest(b.State)}
	for _, o := range s.proposals {
		if o.mark.Term == p.mark.Term && o.node != p.node {
			s.breaks("two proposers propose in epoch %d", p.mark.Term)
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

func wordDigest(w config.ControlState) digest { return digestOf(consensus.AppendControlState(nil, w)) }

func (s *state) settles(v consensus.Acceptor) {
	if v.Committed != 0 && v.Committed == v.Position.Revision {
		s.settle(v.Committed, v.State)
	}
}

// settle notes a word that somebody takes for settled: one under each stamp.
func (s *state) settle(stamp uint64, w config.ControlState) {
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
func (s *state) answer(a consensus.CommandResult) {
	given := s.scenario.Orders[a.ID-1]
	s.answered = append(s.answered, given.Name+" "+string(a.Outcome))
	if a.Outcome != consensus.OutcomeCommitted {
		if given.Generation != 0 && a.Outcome == consensus.OutcomeConflict {
			return
		}
		for _, o := range s.acked {
			if given.Generation != 0 && o.generation == given.Generation && o.digest == given.Text {
				s.breaks("number %d with %q was acknowledged, and its repeat is answered %s", o.generation, o.digest, a.Outcome)
			}
		}
		return
	}
	s.settle(a.State.Revision, a.State)
	is := acked{generation: given.Generation, stamp: a.State.Revision, digest: given.Text}
	for _, o := range s.acked {
		if is.generation != 0 && o.generation == is.generation && o.digest != is.digest {
			s.breaks("number %d is acknowledged with %q and with %q", is.generation, o.digest, is.digest)
		}
	}
	if given.Generation != 0 && a.State.Generation == given.Generation && !bytes.Equal(a.State.Configuration, []byte(given.Text)) {
		s.breaks("number %d with %q is acknowledged, and %q is held", given.Generation, given.Text, a.State.Configuration)
	}
	s.acked = append(slices.Clone(s.acked), is)
	slices.SortFunc(s.acked, func(a, b acked) int { return bytes.Compare([]byte(fmt.Sprint(a)), []byte(fmt.Sprint(b))) })
}

func (s *state) breaks(format string, args ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf(format, args...)
	}
}
