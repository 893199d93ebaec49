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
	votes := make([]consensus.Vote, len(s.nodes))
	for i, n := range s.nodes {
		_, votes[i] = n.memory.On(consensus.Ballot{Act: consensus.Read})
	}
	for asker := range s.nodes {
		own := s.nodes[asker].memory.Sets()
		for asked := 1; asked < 1<<len(s.nodes); asked++ {
			got := s.votes(votes, asked, own)
			counted := consensus.Counted(got)
			if !consensus.Complete(counted, own) {
				continue
			}
			top, sets := consensus.Top(counted, own)
			if !isQuorum(sets, counted) {
				return fmt.Sprintf("node %d counts %v as majorities of %v and %v", asker+1, senders(counted), sets.Now, sets.Before)
			}
			if top.Mark.Stamp < stamp {
				return fmt.Sprintf("node %d reads stamp %d from %v after %d was acknowledged", asker+1, top.Mark.Stamp, senders(counted), stamp)
			}
		}
	}
	return ""
}

// votes are those of the nodes asked, each as the member that its address belongs to,
// also where its disk is another by now.
func (s *state) votes(all []consensus.Vote, asked int, own consensus.Sets) map[int]consensus.Vote {
	out := map[int]consensus.Vote{}
	known := own.Union()
	for i := range all {
		if asked&(1<<i) != 0 {
			known = append(known, all[i].Sets.Union()...)
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
			v.From.Slot = m.Slot
			if old, ok := out[m.Slot]; !ok || old.From.ID != m.ID {
				out[m.Slot] = v
			}
		}
	}
	return out
}

// isQuorum counts anew: members whose own disk has voted.
func isQuorum(sets consensus.Sets, votes map[int]consensus.Vote) bool {
	for _, set := range [][]config.Member{sets.Now, sets.Before} {
		n := 0
		for _, m := range set {
			if v, ok := votes[m.Slot]; ok && v.From.ID == m.ID {
				n++
			}
		}
		if len(set) > 0 && 2*n <= len(set) {
			return false
		}
	}
	return true
}

func senders(votes map[int]consensus.Vote) (out []consensus.From) {
	for _, v := range votes {
		out = append(out, v.From)
	}
	slices.SortFunc(out, func(a, b consensus.From) int { return a.Slot - b.Slot })
	return out
}
