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

// checkReads checks what a reader at any node may read at this moment: each quorum of replies
// returns all that was acknowledged, and only disks with the identity of their member count.
// It returns the violation, or "".
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
		for asked := 1; asked < 1<<len(s.nodes); asked++ {
			received := s.repliesOf(replies, asked, own)
			counted := consensus.CurrentReplies(received)
			if !consensus.HasReadQuorum(counted, own) {
				continue
			}
			newest, sets := consensus.HighestReply(counted, own)
			if !isQuorum(sets, counted) {
				return fmt.Sprintf("node %d counts %v as majorities of %v and %v", reader+1, senders(counted), sets.Current, sets.Previous)
			}
			if newest.Position.Revision < revision {
				return fmt.Sprintf("node %d reads revision %d from %v after %d was acknowledged", reader+1, newest.Position.Revision, senders(counted), revision)
			}
		}
	}
	return ""
}

// repliesOf are the replies of some of the nodes, each as the reply of the member whose address
// the node has, also if its disk is another one by now. asked has a bit for each node.
func (s *state) repliesOf(all []consensus.Reply, asked int, own consensus.MemberSets) map[int]consensus.Reply {
	out := map[int]consensus.Reply{}
	known := own.Union()
	for i := range all {
		if asked&(1<<i) != 0 {
			known = append(known, all[i].MemberSets.Union()...)
		}
	}
	for i, reply := range all {
		if asked&(1<<i) == 0 {
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

// isQuorum counts once more, by itself: members whose own disk has replied.
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

// senders are the senders of replies, by member ID.
func senders(replies map[int]consensus.Reply) (out []consensus.Sender) {
	for _, reply := range replies {
		out = append(out, reply.Sender)
	}
	slices.SortFunc(out, func(a, b consensus.Sender) int { return a.MemberID - b.MemberID })
	return out
}
