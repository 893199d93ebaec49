package membership

import (
	"fmt"
	"slices"
	"testing"
)

func nodeAddrs(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("10.0.%d.%d:7400", i/200, i%200))
	}
	slices.Sort(out)
	return out
}

// Each node has three monitors among the others, all nodes agree on them, and a node that goes
// moves no monitors but its own.
func TestMonitors(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 13, 60} {
		nodes := nodeAddrs(size)
		monitors := map[string]int{}
		for _, own := range nodes {
			for _, n := range NewFailureDetector(own).Monitored(nodes) {
				monitors[n]++
				if n == own {
					t.Errorf("%s monitors itself", own)
				}
			}
		}
		for _, n := range nodes {
			if monitors[n] != min(MonitorsPerNode, size-1) {
				t.Errorf("of %d nodes %s has %d monitors", size, n, monitors[n])
			}
		}
	}
	nodes := nodeAddrs(13)
	gone := nodes[4]
	less := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == gone })
	for _, n := range less {
		before, after := MonitorsOf(n, nodes), MonitorsOf(n, less)
		for _, w := range before {
			if w != gone && !slices.Contains(after, w) {
				t.Errorf("%s lost its monitor %s though %s went", n, w, gone)
			}
		}
	}
}

// A node is suspected after two probes in a row failed, or one was refused, with the highest
// refutation that it has sent; a higher one refutes that.
func TestSuspicion(t *testing.T) {
	nodes := nodeAddrs(2)
	detector := NewFailureDetector(nodes[0])
	detector.Monitored(nodes)
	known := map[string]Node{nodes[1]: {Addr: nodes[1], Incarnation: 7}}
	for _, c := range []struct { // one after another
		name     string
		response *Probe
		refused  bool
		suspects int
	}{
		{"first miss", nil, false, 0},
		{"second miss", nil, false, 1},
		{"response", &Probe{Incarnation: 7, Refutation: 3}, false, 0},
		{"miss after a response", nil, false, 0},
		{"response again", &Probe{Incarnation: 7, Refutation: 4}, false, 0},
		{"refused", nil, true, 1},
	} {
		detector.ObserveProbe(nodes[1], c.response, c.refused)
		if got := detector.Suspects(known); len(got) != c.suspects {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	suspicion := detector.Suspects(known)[0]
	for refutation, holds := range map[uint64]bool{3: true, 4: true, 5: false} {
		if suspicion.AppliesTo(Node{Addr: nodes[1], Incarnation: 7, Refutation: refutation}) != holds {
			t.Errorf("suspected in %d, refuted in %d: holds %v", suspicion.Refutation, refutation, !holds)
		}
	}
	if suspicion.AppliesTo(Node{Addr: nodes[1], Incarnation: 8}) {
		t.Error("it holds against a new incarnation")
	}
}
