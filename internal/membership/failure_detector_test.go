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

// Each node has three watchers among the others, everybody agrees on whom, and
// a node that goes moves no watcher but its own places.
func TestMonitors(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 13, 60} {
		nodes := nodeAddrs(size)
		watched := map[string]int{}
		for _, own := range nodes {
			for _, n := range NewFailureDetector(own).Monitored(nodes) {
				watched[n]++
				if n == own {
					t.Errorf("%s watches itself", own)
				}
			}
		}
		for _, n := range nodes {
			if watched[n] != min(MonitorsPerNode, size-1) {
				t.Errorf("of %d nodes %s has %d watchers", size, n, watched[n])
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
				t.Errorf("%s lost its watcher %s though %s went", n, w, gone)
			}
		}
	}
}

// A node is accused after two probes in a row went wrong, or one was refused,
// in the incarnation that it last told; a later one refutes that.
func TestSuspicion(t *testing.T) {
	nodes := nodeAddrs(2)
	detector := NewFailureDetector(nodes[0])
	detector.Monitored(nodes)
	known := map[string]Node{nodes[1]: {Addr: nodes[1], Incarnation: 7}}
	for i, c := range []struct {
		answer  *Probe
		refused bool
		accused int
	}{{nil, false, 0}, {nil, false, 1}, {&Probe{Incarnation: 7, Refutation: 3}, false, 0}, {nil, false, 0}, {&Probe{Incarnation: 7, Refutation: 4}, false, 0}, {nil, true, 1}} {
		detector.ObserveProbe(nodes[1], c.answer, c.refused)
		if got := detector.Suspects(known); len(got) != c.accused {
			t.Errorf("step %d: %+v", i, got)
		}
	}
	a := detector.Suspects(known)[0]
	for inc, holds := range map[uint64]bool{3: true, 4: true, 5: false} {
		if a.AppliesTo(Node{Addr: nodes[1], Incarnation: 7, Refutation: inc}) != holds {
			t.Errorf("accused in %d, told in %d: holds %v", a.Refutation, inc, !holds)
		}
	}
	if a.AppliesTo(Node{Addr: nodes[1], Incarnation: 8}) {
		t.Error("it holds against a new boot")
	}
}
