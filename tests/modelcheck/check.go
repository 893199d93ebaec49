package modelcheck

import (
	"encoding/binary"
	"fmt"
	"slices"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// acceptorDigest identifies the part of a state that checkReads depends on.
func (s *state) acceptorDigest() digest {
	b := make([]byte, 0, 128)
	for _, n := range s.nodes {
		b = append(b, n.acceptor[:]...)
	}
	for _, a := range s.acknowledged {
		b = binary.AppendUvarint(b, a.revision)
	}
	return digestOf(b)
}

// checkReads checks the result of a read by any node in this state. Each quorum of replies must
// return a revision that is not older than any acknowledged one. A reply counts towards a quorum
// only if it comes from the disk that the member set lists. checkReads returns the violation,
// or "" if there is none.
func (s *state) checkReads() string {
	var revision uint64
	for _, a := range s.acknowledged {
		revision = max(revision, a.revision)
	}
	replies := make([]consensus.Reply, len(s.nodes))
	for i, n := range s.nodes {
		_, replies[i] = n.memory.Step(consensus.Message{Type: consensus.MsgRead})
	}
	for reader := range s.nodes {
		own := s.nodes[reader].memory.MemberSets()
		for subset := 1; subset < 1<<len(s.nodes); subset++ {
			received := s.repliesOf(replies, subset, own)
			counted := consensus.CurrentReplies(received)
			if !consensus.HasReadQuorum(counted, own) {
				continue
			}
			newest, sets := consensus.HighestReply(counted, own)
			if !isQuorum(sets, counted) {
				return fmt.Sprintf("node %d accepts %v as majorities of %v and %v", reader+1, senders(counted), sets.Current, sets.Previous)
			}
			if newest.Position.Revision < revision {
				return fmt.Sprintf("node %d reads revision %d from %v after revision %d was acknowledged", reader+1, newest.Position.Revision, senders(counted), revision)
			}
		}
	}
	return ""
}

// repliesOf returns the replies of a subset of the nodes by member ID. A node's reply is assigned
// to each member with the node's address, even if the node has a different disk by now. subset has
// a bit for each node.
func (s *state) repliesOf(all []consensus.Reply, subset int, own consensus.MemberSets) map[int]consensus.Reply {
	out := map[int]consensus.Reply{}
	known := own.Union()
	for i := range all {
		if subset&(1<<i) != 0 {
			known = append(known, all[i].MemberSets.Union()...)
		}
	}
	for i, reply := range all {
		if subset&(1<<i) == 0 {
			continue
		}
		for _, member := range known {
			if member.Addr != s.nodes[i].addr {
				continue
			}
			reply.Sender.MemberID = member.MemberID
			if old, ok := out[member.MemberID]; !ok || old.Sender.DiskID != member.DiskID {
				out[member.MemberID] = reply
			}
		}
	}
	return out
}

// isQuorum reports whether a majority of each non-empty member set has replied from the listed disks.
// It is written independently of the production code that it checks.
func isQuorum(sets consensus.MemberSets, replies map[int]consensus.Reply) bool {
	for _, set := range [][]config.Member{sets.Current, sets.Previous} {
		n := 0
		for _, member := range set {
			if reply, ok := replies[member.MemberID]; ok && reply.Sender.DiskID == member.DiskID {
				n++
			}
		}
		if len(set) > 0 && 2*n <= len(set) {
			return false
		}
	}
	return true
}

// senders returns the senders of replies, sorted by member ID.
func senders(replies map[int]consensus.Reply) (out []consensus.Sender) {
	for _, reply := range replies {
		out = append(out, reply.Sender)
	}
	slices.SortFunc(out, func(a, b consensus.Sender) int { return a.MemberID - b.MemberID })
	return out
}
