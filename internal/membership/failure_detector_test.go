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

// TestMonitors checks that each node has three monitors among the other nodes, that all nodes
// compute the same monitors, and that the removal of a node does not take away any other monitor of
// a node.
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
				t.Errorf("%d nodes: %s has %d monitors, want three or all other nodes", size, n, monitors[n])
			}
		}
	}
	nodes := nodeAddrs(13)
	removed := nodes[4]
	remaining := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == removed })
	for _, n := range remaining {
		before, after := MonitorsOf(n, nodes), MonitorsOf(n, remaining)
		for _, monitor := range before {
			if monitor != removed && !slices.Contains(after, monitor) {
				t.Errorf("%s lost its monitor %s after the removal of %s", n, monitor, removed)
			}
		}
	}
}

// TestSuspicion checks that a node is suspected after two consecutive failed probes or one refused
// connection. The suspicion has the highest refutation that the node has sent, and a higher one
// refutes it.
func TestSuspicion(t *testing.T) {
	nodes := nodeAddrs(2)
	detector := NewFailureDetector(nodes[0])
	detector.Monitored(nodes)
	known := map[string]Node{nodes[1]: {Addr: nodes[1], Incarnation: 7}}
	for _, c := range []struct { // in this order
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
			t.Errorf("%s: got the wrong number of suspicions: %+v", c.name, got)
		}
	}
	suspicion := detector.Suspects(known)[0]
	for refutation, applies := range map[uint64]bool{3: true, 4: true, 5: false} {
		if suspicion.AppliesTo(Node{Addr: nodes[1], Incarnation: 7, Refutation: refutation}) != applies {
			t.Errorf("suspicion of refutation %d, node with refutation %d: AppliesTo returns %v", suspicion.Refutation, refutation, !applies)
		}
	}
	if suspicion.AppliesTo(Node{Addr: nodes[1], Incarnation: 8}) {
		t.Error("suspicion applies to a new incarnation")
	}
}
