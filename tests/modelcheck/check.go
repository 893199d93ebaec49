package modelcheck

import (
	"encoding/binary"
	"fmt"
	"slices"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// view identifies what check looks at.
func (s *state) view() digest {
	b := make([]byte, 0, 128)
	for _, n := range s.nodes {
		b = append(b, n.acceptor[:]...)
	}
	for _, a := range s.acked {
		b = binary.AppendUvarint(b, a.stamp)
	}
	return digestOf(b)
}

// check looks at a state as a reader does that asks any of the nodes: whatever votes are
// complete show all that was acknowledged, and only disks with the members' own
// identities count for them.
func (s *state) check() string {
	var stamp uint64
	for _, a := range s.acked {
		stamp = max(stamp, a.stamp)
	}
	votes := make([]consensus.Reply, len(s.nodes))
	for i, n := range s.nodes {
		_, votes[i] = n.memory.Step(consensus.Message{Type: consensus.MsgRead})
	}
	for asker := range s.nodes {
		own := s.nodes[asker].memory.MemberSets()
		for asked := 1; asked < 1<<len(s.nodes); asked++ {
			got := s.votes(votes, asked, own)
			counted := consensus.CurrentReplies(got)
			if !consensus.HasReadQuorum(counted, own) {
				continue
			}
			top, sets := consensus.HighestReply(counted, own)
			if !isQuorum(sets, counted) {
				return fmt.Sprintf("node %d counts %v as majorities of %v and %v", asker+1, senders(counted), sets.Current, sets.Previous)
			}
			if top.Position.Revision < stamp {
				return fmt.Sprintf("node %d reads stamp %d from %v after %d was acknowledged", asker+1, top.Position.Revision, senders(counted), stamp)
			}
		}
	}
	return ""
}

// votes are those of the nodes asked, each as the member that its address belongs to,
// also where its disk is another by now.
func (s *state) votes(all []consensus.Reply, asked int, own consensus.MemberSets) map[int]consensus.Reply {
	out := map[int]consensus.Reply{}
	known := own.Union()
	for i := range all {
		if asked&(1<<i) != 0 {
			known = append(known, all[i].MemberSets.Union()...)
		}
	}
	for i, v := range all {
		if asked&(1<<i) == 0 {
			continue
		}
		for _, m := range known {
			if m.Addr != s.nodes[i].addr {
				continue
			}
			v.Sender.MemberID = m.MemberID
			if old, ok := out[m.MemberID]; !ok || old.Sender.DiskID != m.DiskID {
				out[m.MemberID] = v
			}
		}
	}
	return out
}

// isQuorum counts anew: members whose own disk has voted.
func isQuorum(sets consensus.MemberSets, votes map[int]consensus.Reply) bool {
	for _, set := range [][]config.Member{sets.Current, sets.Previous} {
		n := 0
		for _, m := range set {
			if v, ok := votes[m.MemberID]; ok && v.Sender.DiskID == m.DiskID {
				n++
			}
		}
		if len(set) > 0 && 2*n <= len(set) {
			return false
		}
	}
	return true
}

func senders(votes map[int]consensus.Reply) (out []consensus.Sender) {
	for _, v := range votes {
		out = append(out, v.Sender)
	}
	slices.SortFunc(out, func(a, b consensus.Sender) int { return a.MemberID - b.MemberID })
	return out
}
