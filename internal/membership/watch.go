package membership

import (
	"slices"

	"curlewwalk/internal/rendezvous"
)

const (
	// Watchers is how many nodes watch each node.
	Watchers = 3 // (ours)
	// misses is how many probes in a row go wrong before a node is accused.
	misses = 2 // (ours)
)

// WatchersOf names the nodes that watch a node: the first by rendezvous hashing
// among the others.
func WatchersOf(addr string, nodes []string) []string {
	others := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == addr })
	ranked := rendezvous.Rank(addr, others, func(n string) string { return n })
	return ranked[:min(Watchers, len(ranked))]
}

// Watch is a decision value: whom a node watches, and whom it accuses.
type Watch struct {
	own        string
	nodes      []string
	membership []string
	missed     map[string]int
	last       map[string]Probe // what each answered last
}

// NewWatch makes the watch of a node.
func NewWatch(own string) *Watch {
	return &Watch{own: own, missed: map[string]int{}, last: map[string]Probe{}}
}

// Membership lists whom to watch among the nodes known now.
func (w *Watch) Membership(nodes []string) []string {
	if slices.Equal(nodes, w.nodes) {
		return w.membership
	}
	w.nodes, w.membership = slices.Clone(nodes), nil
	kept, last := map[string]int{}, map[string]Probe{}
	for _, n := range nodes {
		if n != w.own && slices.Contains(WatchersOf(n, nodes), w.own) {
			w.membership = append(w.membership, n)
			kept[n], last[n] = w.missed[n], w.last[n]
		}
	}
	w.missed, w.last = kept, last
	return w.membership
}

// Probed takes how a probe went; answer is nil if there was none. A refused one
// proves that no process is there: it counts for all.
func (w *Watch) Probed(addr string, answer *Probe, refused bool) {
	switch {
	case answer != nil:
		w.missed[addr], w.last[addr] = 0, *answer
	case refused:
		w.missed[addr] = misses
	default:
		w.missed[addr]++
	}
}

// Accused lists whom the node accuses, given what is known of them.
func (w *Watch) Accused(known map[string]Node) (out []Accusation) {
	for _, addr := range w.membership {
		if n, ok := known[addr]; ok && w.missed[addr] >= misses {
			a := Accusation{Addr: addr, Boot: n.Boot, Inc: n.Inc}
			if last := w.last[addr]; last.Boot == n.Boot {
				a.Inc = max(a.Inc, last.Inc)
			}
			out = append(out, a)
		}
	}
	return out
}
