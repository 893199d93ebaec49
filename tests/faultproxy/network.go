package faultproxy

import (
	"context"
	"slices"
	"sync"
)

// Blocks reports whether a partition blocks the traffic from one machine to another.
type Blocks func(from, to string) bool

// Network is the simulated network between machines. Its partitions apply to all its proxies. It is
// safe for concurrent use.
type Network struct {
	mu sync.Mutex
	// partition is replaced by Partition, PartitionBetween, BlockOneWay and Heal. The partitions in
	// added are in force at the same time, each until it is healed.
	partition Blocks
	added     map[*Blocks]bool
	changed   chan struct{} // closed and replaced at each change of a partition
}

// NewNetwork returns a network without partitions.
func NewNetwork() *Network {
	return &Network{partition: func(string, string) bool { return false }, added: map[*Blocks]bool{}, changed: make(chan struct{})}
}

// Partition separates the given machines from all others. Data between the sides is queued until
// the network is healed. Connections between the sides are neither refused nor reset; the other
// side does not answer. Partition replaces the previous partition, as PartitionBetween and
// BlockOneWay do.
func (n *Network) Partition(machines ...string) {
	n.setPartition(func(a, b string) bool { return slices.Contains(machines, a) != slices.Contains(machines, b) })
}

// PartitionBetween separates one set of machines from another. Traffic with all other machines is
// not affected.
func (n *Network) PartitionBetween(left, right []string) {
	leftToRight := func(a, b string) bool { return slices.Contains(left, a) && slices.Contains(right, b) }
	n.setPartition(func(a, b string) bool { return leftToRight(a, b) || leftToRight(b, a) })
}

// BlockOneWay blocks the traffic from one set of machines to another, but not in the other
// direction. No new connection between the sets can be opened, because a TCP handshake needs both
// directions.
func (n *Network) BlockOneWay(from, to []string) {
	n.setPartition(func(a, b string) bool { return slices.Contains(from, a) && slices.Contains(to, b) })
}

// Heal removes the partition that Partition, PartitionBetween or BlockOneWay set. The partitions of
// AddPartition stay in force. Queued data that no partition blocks any more is delivered.
func (n *Network) Heal() { n.Partition() }

// AddPartition adds a partition to those in force. The returned function removes it.
func (n *Network) AddPartition(blocks Blocks) (heal func()) {
	n.update(func() { n.added[&blocks] = true })
	return func() { n.update(func() { delete(n.added, &blocks) }) }
}

// blocks reports whether any partition blocks the traffic from one machine to another. n.mu must
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

// setPartition replaces n.partition.
func (n *Network) setPartition(blocks Blocks) {
	n.update(func() { n.partition = blocks })
}

// update applies a change to the partitions and wakes the goroutines that wait for one.
func (n *Network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// waitPassable blocks until no partition blocks the traffic from one machine to another. It returns
// false if ctx is done first.
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
