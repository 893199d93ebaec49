package watch

import (
	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// Copy is what a node has of the feeds that it followed: a decision value that
// one thread owns. (DESIGN 8.2)
type Copy struct {
	Nodes map[string]membership.Node
	stamp uint64
}

// NewCopy makes an empty copy.
func NewCopy() *Copy { return &Copy{Nodes: map[string]membership.Node{}} }

// Take takes news. word is set if there is one to be put in force; changed tells
// whether nodes came, went or changed.
func (c *Copy) Take(n News) (word *config.Word, changed bool) {
	if n.Snapshot {
		clear(c.Nodes)
	}
	for _, it := range n.Items {
		switch {
		case it.Word != nil:
			if c.Newer(*it.Word) {
				word = it.Word
			}
		case it.Node != nil:
			c.Nodes[it.Node.Addr] = *it.Node
		default:
			delete(c.Nodes, it.Gone)
		}
	}
	return word, len(n.Items) > 0 || n.Snapshot
}

// Newer takes a word from anywhere; false if it is none newer than what was taken
// before: a node never goes back.
func (c *Copy) Newer(w config.Word) bool {
	if w.Stamp <= c.stamp {
		return false
	}
	c.stamp = w.Stamp
	return true
}

// Meet takes the soft states that other nodes than a core tell of, and the boots of
// nodes whose processes are gone; it tells whether that changed anything. Of one boot
// the later revision stays.
func (c *Copy) Meet(nodes []membership.Node, dead map[string]uint64) (changed bool) {
	for _, n := range nodes {
		if old, ok := c.Nodes[n.Addr]; ok && old.Boot == n.Boot && old.Rev >= n.Rev {
			continue
		}
		c.Nodes[n.Addr], changed = n, true
	}
	for addr, boot := range dead {
		if n, ok := c.Nodes[addr]; ok && n.Boot == boot {
			delete(c.Nodes, addr)
			changed = true
		}
	}
	return changed
}
