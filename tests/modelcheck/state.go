package modelcheck

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"curlewwalk/internal/controlplane/consensus"
)

// digest identifies a state, or a part of one.
type digest [16]byte

func digestOf(b []byte) (d digest) {
	sum := sha256.Sum256(b)
	copy(d[:], sum[:])
	return d
}

// node is a core: its disk, its memory, and its proposer. It never changes; a step makes
// another.
type node struct {
	addr     string
	disk     consensus.Acceptor
	memory   consensus.Acceptor
	proposer *consensus.Proposer
	now      time.Duration
	key      digest
	acceptor digest // of the memory alone
}

func (n *node) sealed() *node {
	b := n.memory.AppendState(make([]byte, 0, 512))
	n.acceptor = digestOf(b)
	b = n.disk.AppendState(b)
	b = n.proposer.AppendState(b, n.now)
	n.key = digestOf(b)
	return n
}

// message is a ballot on its way, or the vote that answers it.
type message struct {
	from, to int
	ballot   *consensus.Message
	vote     *consensus.Reply
	slot     int // the member's that a ballot is meant for
	id       uint64
	key      digest
}

func (m message) sealed() message {
	b := []byte{byte(m.from), byte(m.to), byte(m.slot)}
	b = binary.BigEndian.AppendUint64(b, m.id)
	if m.ballot != nil {
		b = m.ballot.AppendState(append(b, 'b'))
	} else {
		b = m.vote.AppendState(append(b, 'v'))
	}
	m.key = digestOf(b)
	return m
}

// proposal is what an epoch's proposals under one stamp were, and by whom.
type proposal struct {
	mark consensus.Position
	node int
	word digest
}

// acked is what an operator was told.
type acked struct {
	generation, stamp uint64
	digest            string
}

// state is one moment of a run, with the history that the invariants need.
type state struct {
	scenario *Scenario
	nodes    []*node
	flight   []message // sorted, each once
	left     Bounds    // of failures, still to come
	open     uint      // orders that were not given yet, by bit
	drawn    uint64    // identities drawn after losses
	look     look      // that is under way

	proposals []proposal        // sorted by mark
	settled   map[uint64]digest // the word under each settled stamp
	acked     []acked

	answered []string // by the last step
	broken   string
}

func newState(sc Scenario, b Bounds) *state {
	s := &state{scenario: &sc, left: b, open: 1<<len(sc.Orders) - 1, settled: map[uint64]digest{}}
	s.left.Depth, s.left.States = 0, 0
	for i := range sc.Founders {
		v := consensus.Bootstrap{NewCluster: true, InitialMembers: sc.Founders, AdvertiseAddr: sc.Founders[i]}.InitialState(0)
		s.nodes = append(s.nodes, boot(sc.Founders[i], v, 0))
	}
	for i, addr := range sc.Newcomers {
		s.nodes = append(s.nodes, boot(addr, consensus.Bootstrap{}.InitialState(newcomerID(i)), 0))
	}
	return s
}

// newcomerID is the identity of the nth newcomer; drawnID of the nth drawn after a loss.
func newcomerID(n int) uint64 { return uint64(1001 + 2*n) }
func drawnID(n uint64) uint64 { return 2001 + 2*n }

// copied is a state to make the next one of.
func (s *state) copied() *state {
	c := *s
	c.nodes, c.answered = slices.Clone(s.nodes), nil
	return &c
}

// boot starts a core from its disk.
func boot(addr string, disk consensus.Acceptor, now time.Duration) *node {
	disk.PromiseDirty, disk.StateDirty = false, false
	n := &node{addr: addr, disk: disk, memory: disk, proposer: &consensus.Proposer{}, now: now}
	n.memory.Committed = 0
	n.memory.Promised = max(disk.Promised, disk.Position.Term)
	n.proposer.FollowAcceptor(n.memory, now)
	return n.sealed()
}

func (s *state) digest() digest {
	b := make([]byte, 0, 1024)
	for _, n := range s.nodes {
		b = append(b, n.key[:]...)
	}
	for _, m := range s.flight {
		b = append(b, m.key[:]...)
	}
	b = append(b, 0xff, byte(s.left.Crashes), byte(s.left.Timeouts), byte(s.left.Doubled), byte(s.left.Wiped), byte(s.left.Looks), byte(s.open), byte(s.drawn))
	b = s.look.appendState(b)
	for _, p := range s.proposals {
		b = binary.AppendUvarint(b, p.mark.Term)
		b = binary.AppendUvarint(b, p.mark.Revision)
		b = append(append(b, byte(p.node)), p.word[:]...)
	}
	b = append(b, 0xff)
	for stamp := uint64(1); int(stamp) <= len(s.settled)+8; stamp++ {
		if d, ok := s.settled[stamp]; ok {
			b = append(append(b, byte(stamp)), d[:]...)
		}
	}
	for _, a := range s.acked {
		b = binary.AppendUvarint(b, a.generation)
		b = binary.AppendUvarint(b, a.stamp)
		b = append(b, a.digest...)
	}
	return digestOf(b)
}

// post puts messages on their way.
func (s *state) post(ms ...message) {
	s.flight = slices.Clone(s.flight)
	for _, m := range ms {
		m = m.sealed()
		at, found := slices.BinarySearchFunc(s.flight, m, func(a, b message) int { return bytes.Compare(a.key[:], b.key[:]) })
		if !found {
			s.flight = slices.Insert(s.flight, at, m)
		}
	}
}

// at is the node at an address.
func (s *state) at(addr string) int {
	return slices.IndexFunc(s.nodes, func(n *node) bool { return n.addr == addr })
}
