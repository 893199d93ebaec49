package membership

import (
	"slices"

	"curlewwalk/internal/rendezvous"
)

const (
	// MonitorsPerNode is how many nodes monitor each node.
	MonitorsPerNode = 3 // (ours)
	// missesToSuspect is how many probes in a row fail before a node is suspected.
	missesToSuspect = 2 // (ours)
)

// MonitorsOf returns the nodes that monitor a node: the first of the others by rendezvous
// hashing, so that all nodes agree on them and a node that goes moves only its own monitors.
func MonitorsOf(addr string, nodes []string) []string {
	others := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == addr })
	ranked := rendezvous.Rank(addr, others, func(n string) string { return n })
	return ranked[:min(MonitorsPerNode, len(ranked))]
}

// FailureDetector decides which nodes a node monitors and which of them it suspects. It does no
// I/O and is not safe for concurrent use.
type FailureDetector struct {
	own       string
	nodes     []string // monitored was computed from these
	monitored []string
	// misses counts the failed probes in a row, by address; lastResponses are the newest
	// successful ones.
	misses        map[string]int
	lastResponses map[string]Probe
}

// NewFailureDetector makes the detector of the node at an address.
func NewFailureDetector(own string) *FailureDetector {
	return &FailureDetector{own: own, misses: map[string]int{}, lastResponses: map[string]Probe{}}
}

// Monitored returns which of the nodes that exist now are to be probed.
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

// ObserveProbe takes the outcome of a probe; response is nil if there was none. A refused
// connection proves that no process listens, so the node is suspected at once.
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

// Suspects returns the suspicions against the monitored nodes, each with the highest refutation
// that the node is known to have issued. known are the nodes by address.
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
