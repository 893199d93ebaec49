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

// digestOf is the digest of an encoding.
func digestOf(b []byte) (d digest) {
	sum := sha256.Sum256(b)
	copy(d[:], sum[:])
	return d
}

// node is a replica: its disk, its memory and its proposer. It is immutable; a step makes
// another one.
type node struct {
	addr     string
	disk     consensus.Acceptor
	memory   consensus.Acceptor
	proposer *consensus.Proposer
	now      time.Duration
	key      digest
	acceptor digest // of memory alone
}

// sealed sets the digests of a new node.
func (n *node) sealed() *node {
	b := n.memory.AppendState(make([]byte, 0, 512))
	n.acceptor = digestOf(b)
	b = n.disk.AppendState(b)
	b = n.proposer.AppendState(b, n.now)
	n.key = digestOf(b)
	return n
}

// message is a request in flight, or the reply to one.
type message struct {
	from, to int
	request  *consensus.Message
	reply    *consensus.Reply
	memberID int // with diskID: the member that a request is meant for
	diskID   uint64
	key      digest
}

// sealed sets the digest of a new message.
func (m message) sealed() message {
	b := []byte{byte(m.from), byte(m.to), byte(m.memberID)}
	b = binary.BigEndian.AppendUint64(b, m.diskID)
	if m.request != nil {
		b = m.request.AppendState(append(b, 'b'))
	} else {
		b = m.reply.AppendState(append(b, 'v'))
	}
	m.key = digestOf(b)
	return m
}

// proposal is the state that a node proposed at a position.
type proposal struct {
	position consensus.Position
	node     int
	state    digest
}

// acknowledgement is what an operator was answered.
type acknowledgement struct {
	generation, revision uint64
	digest               string
}

// state is one moment of a run, with the history that the invariants need. It is immutable,
// as are its parts; a step makes another one.
type state struct {
	scenario     *Scenario
	nodes        []*node
	inFlight     []message  // sorted, each once
	remaining    Bounds     // the failures that may still happen
	openCommands uint       // a bit for each command that was not submitted yet
	drawnIDs     uint64     // how many disk identities were drawn
	read         quorumRead // in progress

	proposals    []proposal        // sorted by position
	committed    map[uint64]digest // the state of each committed revision
	acknowledged []acknowledgement

	results   []string // of commands, by the last step
	violation string   // the first one
}

// newState is the initial state of a scenario.
func newState(scenario Scenario, bounds Bounds) *state {
	s := &state{scenario: &scenario, remaining: bounds, openCommands: 1<<len(scenario.Commands) - 1, committed: map[uint64]digest{}}
	s.remaining.Depth, s.remaining.States = 0, 0
	for i := range scenario.Founders {
		acceptor := consensus.Bootstrap{NewCluster: true, InitialMembers: scenario.Founders, AdvertiseAddr: scenario.Founders[i]}.InitialState(0)
		s.nodes = append(s.nodes, startNode(scenario.Founders[i], acceptor, 0))
	}
	for i, addr := range scenario.Newcomers {
		s.nodes = append(s.nodes, startNode(addr, consensus.Bootstrap{}.InitialState(newcomerID(i)), 0))
	}
	return s
}

// newcomerID is the disk identity of the nth node that may join, drawnID the nth one drawn after
// a disk was lost.
func newcomerID(n int) uint64 { return uint64(1001 + 2*n) }
func drawnID(n uint64) uint64 { return 2001 + 2*n }

// clone is a copy to make the next state of.
func (s *state) clone() *state {
	c := *s
	c.nodes, c.results = slices.Clone(s.nodes), nil
	return &c
}

// startNode starts a replica from its disk.
func startNode(addr string, disk consensus.Acceptor, now time.Duration) *node {
	disk.PromiseDirty, disk.StateDirty = false, false
	n := &node{addr: addr, disk: disk, memory: disk, proposer: &consensus.Proposer{}, now: now}
	n.memory.Committed = 0
	n.memory.Promised = max(disk.Promised, disk.Position.Term)
	n.proposer.FollowAcceptor(n.memory, now)
	return n.sealed()
}

// digest identifies the state: equal ones behave alike from there on.
func (s *state) digest() digest {
	b := make([]byte, 0, 1024)
	for _, n := range s.nodes {
		b = append(b, n.key[:]...)
	}
	for _, m := range s.inFlight {
		b = append(b, m.key[:]...)
	}
	b = append(b, 0xff, byte(s.remaining.Crashes), byte(s.remaining.Timeouts), byte(s.remaining.Duplicated), byte(s.remaining.DisksLost), byte(s.remaining.QuorumReads), byte(s.openCommands), byte(s.drawnIDs))
	b = s.read.appendState(b)
	for _, p := range s.proposals {
		b = binary.AppendUvarint(b, p.position.Term)
		b = binary.AppendUvarint(b, p.position.Revision)
		b = append(append(b, byte(p.node)), p.state[:]...)
	}
	b = append(b, 0xff)
	for revision := uint64(1); int(revision) <= len(s.committed)+8; revision++ {
		if d, ok := s.committed[revision]; ok {
			b = append(append(b, byte(revision)), d[:]...)
		}
	}
	for _, a := range s.acknowledged {
		b = binary.AppendUvarint(b, a.generation)
		b = binary.AppendUvarint(b, a.revision)
		b = append(b, a.digest...)
	}
	return digestOf(b)
}

// post adds messages to those in flight; one that is there already is not added.
func (s *state) post(ms ...message) {
	s.inFlight = slices.Clone(s.inFlight)
	for _, m := range ms {
		m = m.sealed()
		at, found := slices.BinarySearchFunc(s.inFlight, m, func(a, b message) int { return bytes.Compare(a.key[:], b.key[:]) })
		if !found {
			s.inFlight = slices.Insert(s.inFlight, at, m)
		}
	}
}

// nodeAt is the index of the node at an address.
func (s *state) nodeAt(addr string) int {
	return slices.IndexFunc(s.nodes, func(n *node) bool { return n.addr == addr })
}
