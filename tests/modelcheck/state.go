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

// digestOf returns the digest of an encoding.
func digestOf(b []byte) (d digest) {
	sum := sha256.Sum256(b)
	copy(d[:], sum[:])
	return d
}

// node is a replica: its disk, its memory and its proposer. A node is immutable; a step makes a new
// one.
type node struct {
	addr     string
	disk     consensus.Acceptor
	memory   consensus.Acceptor
	proposer *consensus.Proposer
	now      time.Duration
	key      digest
	acceptor digest // digest of memory alone
}

// withDigests sets the digests of a new node.
func (n *node) withDigests() *node {
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
	memberID int // memberID and diskID identify the member that a request is addressed to
	diskID   uint64
	key      digest
}

// withDigest sets the digest of a new message.
func (m message) withDigest() message {
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

// acknowledgement is the successful result of a command.
type acknowledgement struct {
	generation, revision uint64
	digest               string
}

// state is a state of the whole cluster, with the history that the invariants need. A state and its
// parts are immutable; a step makes a new state.
type state struct {
	scenario     *Scenario
	nodes        []*node
	inFlight     []message  // sorted, without duplicates
	remaining    Bounds     // the failures that may still happen
	openCommands uint       // a bit for each command that has not been submitted yet
	generatedIDs uint64     // number of disk IDs generated so far
	read         quorumRead // the quorum read in progress

	proposals    []proposal        // sorted by position
	committed    map[uint64]digest // the state of each committed revision
	acknowledged []acknowledgement

	results   []string // results of commands that the last step completed
	violation string   // the first violation
}

// newState returns the initial state of a scenario.
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

// newcomerID returns the disk ID of the nth node that may join.
func newcomerID(n int) uint64 { return uint64(1001 + 2*n) }

// generatedID returns the nth disk ID that is generated for a lost disk or a removed member.
func generatedID(n uint64) uint64 { return 2001 + 2*n }

// clone returns a copy of the state, from which a step makes the next state.
func (s *state) clone() *state {
	c := *s
	c.nodes, c.results = slices.Clone(s.nodes), nil
	return &c
}

// startNode returns a replica that has just started from its disk.
func startNode(addr string, disk consensus.Acceptor, now time.Duration) *node {
	disk.PromiseDirty, disk.StateDirty = false, false
	n := &node{addr: addr, disk: disk, memory: disk, proposer: &consensus.Proposer{}, now: now}
	n.memory.Committed = 0
	n.memory.Promised = max(disk.Promised, disk.Position.Term)
	n.proposer.FollowAcceptor(n.memory, now)
	return n.withDigests()
}

// digest identifies the state: states with equal digests have the same future behaviour.
func (s *state) digest() digest {
	b := make([]byte, 0, 1024)
	for _, n := range s.nodes {
		b = append(b, n.key[:]...)
	}
	for _, m := range s.inFlight {
		b = append(b, m.key[:]...)
	}
	b = append(b, 0xff, byte(s.remaining.Crashes), byte(s.remaining.Timeouts), byte(s.remaining.Duplicated), byte(s.remaining.DisksLost), byte(s.remaining.QuorumReads), byte(s.openCommands), byte(s.generatedIDs))
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

// post adds messages to those in flight, except messages that are already in flight.
func (s *state) post(ms ...message) {
	s.inFlight = slices.Clone(s.inFlight)
	for _, m := range ms {
		m = m.withDigest()
		at, found := slices.BinarySearchFunc(s.inFlight, m, func(a, b message) int { return bytes.Compare(a.key[:], b.key[:]) })
		if !found {
			s.inFlight = slices.Insert(s.inFlight, at, m)
		}
	}
}

// nodeAt returns the index of the node with an address.
func (s *state) nodeAt(addr string) int {
	return slices.IndexFunc(s.nodes, func(n *node) bool { return n.addr == addr })
}
