package membership

import (
	"slices"

	"curlewwalk/internal/rendezvous"
)

const (
	// MonitorsPerNode is the number of nodes that monitor each node.
	MonitorsPerNode = 3
	// missesToSuspect is the number of consecutive failed probes after which a node is suspected.
	missesToSuspect = 2
)

// MonitorsOf returns the nodes that monitor the node at addr: the highest ranked of the other nodes
// by rendezvous hashing. All nodes compute the same monitors. When a node leaves, only the nodes
// that it monitored get another monitor.
func MonitorsOf(addr string, nodes []string) []string {
	others := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == addr })
	ranked := rendezvous.Rank(addr, others, func(n string) string { return n })
	return ranked[:min(MonitorsPerNode, len(ranked))]
}

// FailureDetector determines which nodes a node monitors and which of them it suspects. It does no
// I/O and is not safe for concurrent use.
type FailureDetector struct {
	own       string
	nodes     []string // the nodes that monitored was computed from
	monitored []string
	// misses counts the consecutive failed probes by address. lastResponses holds the newest
	// response by address.
	misses        map[string]int
	lastResponses map[string]Probe
}

// NewFailureDetector returns the detector for the node at the address own.
func NewFailureDetector(own string) *FailureDetector {
	return &FailureDetector{own: own, misses: map[string]int{}, lastResponses: map[string]Probe{}}
}

// Monitored returns the nodes that this node has to probe, given all current nodes.
func (d *FailureDetector) Monitored(nodes []string) []string {
	if slices.Equal(nodes, d.nodes) {
		return d.monitored
	}
	d.nodes, d.monitored = slices.Clone(nodes), nil
	misses, lastResponses := map[string]int{}, map[string]Probe{}
	for _, n := range nodes {
		if n != d.own && slices.Contains(MonitorsOf(n, nodes), d.own) {
			d.monitored = append(d.monitored, n)
			misses[n], lastResponses[n] = d.misses[n], d.lastResponses[n]
		}
	}
	d.misses, d.lastResponses = misses, lastResponses
	return d.monitored
}

// ObserveProbe records the outcome of a probe. response is nil if none arrived. A refused
// connection proves that no process listens at the address, so the node is suspected at once.
func (d *FailureDetector) ObserveProbe(addr string, response *Probe, refused bool) {
	switch {
	case response != nil:
		d.misses[addr], d.lastResponses[addr] = 0, *response
	case refused:
		d.misses[addr] = missesToSuspect
	default:
		d.misses[addr]++
	}
}

// Suspects returns the suspicions against the monitored nodes. Each suspicion has the highest
// refutation that the node is known to have issued. known holds the nodes by address.
func (d *FailureDetector) Suspects(known map[string]Node) (out []Suspicion) {
	for _, addr := range d.monitored {
		n, ok := known[addr]
		if !ok || d.misses[addr] < missesToSuspect {
			continue
		}
		s := Suspicion{Addr: addr, Incarnation: n.Incarnation, Refutation: n.Refutation}
		if last := d.lastResponses[addr]; last.Incarnation == n.Incarnation {
			s.Refutation = max(s.Refutation, last.Refutation)
		}
		out = append(out, s)
	}
	return out
}
