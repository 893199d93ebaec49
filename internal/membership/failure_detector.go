package membership

import (
	"slices"

	"curlewwalk/internal/rendezvous"
)

const (
	// MonitorsPerNode is how many nodes watch each node.
	MonitorsPerNode = 3 // (ours)
	// missesToSuspect is how many probes in a row go wrong before a node is accused.
	missesToSuspect = 2 // (ours)
)

// MonitorsOf names the nodes that watch a node: the first by rendezvous hashing
// among the others.
func MonitorsOf(addr string, nodes []string) []string {
	others := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == addr })
	ranked := rendezvous.Rank(addr, others, func(n string) string { return n })
	return ranked[:min(MonitorsPerNode, len(ranked))]
}

// FailureDetector is a decision value: whom a node watches, and whom it accuses.
type FailureDetector struct {
	own         string
	nodes       []string
	monitored   []string
	misses      map[string]int
	lastAnswers map[string]Probe // what each answered last
}

// NewFailureDetector makes the watch of a node.
func NewFailureDetector(own string) *FailureDetector {
	return &FailureDetector{own: own, misses: map[string]int{}, lastAnswers: map[string]Probe{}}
}

// Monitored lists whom to watch among the nodes known now.
func (detector *FailureDetector) Monitored(nodes []string) []string {
	if slices.Equal(nodes, detector.nodes) {
		return detector.monitored
	}
	detector.nodes, detector.monitored = slices.Clone(nodes), nil
	kept, last := map[string]int{}, map[string]Probe{}
	for _, n := range nodes {
		if n != detector.own && slices.Contains(MonitorsOf(n, nodes), detector.own) {
			detector.monitored = append(detector.monitored, n)
			kept[n], last[n] = detector.misses[n], detector.lastAnswers[n]
		}
	}
	detector.misses, detector.lastAnswers = kept, last
	return detector.monitored
}

// ObserveProbe takes how a probe went; answer is nil if there was none. A refused one
// proves that no process is there: it counts for all.
func (detector *FailureDetector) ObserveProbe(addr string, answer *Probe, refused bool) {
	switch {
	case answer != nil:
		detector.misses[addr], detector.lastAnswers[addr] = 0, *answer
	case refused:
		detector.misses[addr] = missesToSuspect
	default:
		detector.misses[addr]++
	}
}

// Suspects lists whom the node accuses, given what is known of them.
func (detector *FailureDetector) Suspects(known map[string]Node) (out []Suspicion) {
	for _, addr := range detector.monitored {
		if n, ok := known[addr]; ok && detector.misses[addr] >= missesToSuspect {
			a := Suspicion{Addr: addr, Incarnation: n.Incarnation, Refutation: n.Refutation}
			if last := detector.lastAnswers[addr]; last.Incarnation == n.Incarnation {
				a.Refutation = max(a.Refutation, last.Refutation)
			}
			out = append(out, a)
		}
	}
	return out
}
