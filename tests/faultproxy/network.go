package faultproxy

import (
	"context"
	"slices"
	"sync"
)

// Blocks reports whether nothing passes from one machine to another.
type Blocks func(from, to string) bool

// Network is the network between machines. All its proxies obey its partitions. It is safe
// for concurrent use.
type Network struct {
	mu sync.Mutex
	// partition is the one that the methods but AddPartition set; added are those that are
	// in force beside it, until each is healed.
	partition Blocks
	added     map[*Blocks]bool
	changed   chan struct{} // closed and replaced when a partition changes
}

// NewNetwork makes a network without partitions.
func NewNetwork() *Network {
	return &Network{partition: func(string, string) bool { return false }, added: map[*Blocks]bool{}, changed: make(chan struct{})}
}

// Partition separates the machines given from all others. What passes between the sides
// queues up until the network is healed: nothing is refused, the other side just does not
// answer.
func (n *Network) Partition(machines ...string) {
	n.setPartition(func(a, b string) bool { return slices.Contains(machines, a) != slices.Contains(machines, b) })
}

// PartitionBetween separates some machines from some others, and from no more.
func (n *Network) PartitionBetween(some, others []string) {
	between := func(a, b string) bool { return slices.Contains(some, a) && slices.Contains(others, b) }
	n.setPartition(func(a, b string) bool { return between(a, b) || between(b, a) })
}

// BlockOneWay blocks what some machines send to some others, but not the other direction. No
// new connection between them can be opened.
func (n *Network) BlockOneWay(from, to []string) {
	n.setPartition(func(a, b string) bool { return slices.Contains(from, a) && slices.Contains(to, b) })
}

// Heal ends the partition, but not those of AddPartition; what was queued is delivered.
func (n *Network) Heal() { n.Partition() }

// AddPartition adds a partition beside all others; heal ends it.
func (n *Network) AddPartition(blocks Blocks) (heal func()) {
	n.update(func() { n.added[&blocks] = true })
	return func() { n.update(func() { delete(n.added, &blocks) }) }
}

// blocks reports whether any partition blocks what one machine sends to another. n.mu must
// be held.
func (n *Network) blocks(from, to string) bool {
	if n.partition(from, to) {
		return true
	}
	for blocks := range n.added {
		if (*blocks)(from, to) {
			return true
		}
	}
	return false
}

// setPartition replaces the partition.
func (n *Network) setPartition(blocks Blocks) {
	n.update(func() { n.partition = blocks })
}

// update changes the partitions and wakes whoever waits for a change.
func (n *Network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// waitPassable waits until nothing blocks what one machine sends to another. It returns
// false if ctx ends before.
func (n *Network) waitPassable(ctx context.Context, from, to string) bool {
	for {
		n.mu.Lock()
		ok, changed := !n.blocks(from, to), n.changed
		n.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
