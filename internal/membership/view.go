package membership

import (
	"maps"
	"slices"
)

// View is the immutable snapshot that traffic reads: for each service the
// backends that may be chosen. It is only a hint; the far sidecar decides.
type View struct {
	byService map[string][]Target
	nodes     map[string]Node
}

// Target is one backend behind its sidecar.
type Target struct {
	Backend
	Node        string
	Incarnation uint64
	// Load is shared by all snapshots that hold the same backend.
	Load *Load
}

// Service lists the targets of a service.
func (v *View) Service(name string) []Target { return v.byService[name] }

// Services lists the services that there are backends of.
func (v *View) Services() []string { return slices.Sorted(maps.Keys(v.byService)) }

// Addrs lists the addresses of all known nodes.
func (v *View) Addrs() []string { return slices.Sorted(maps.Keys(v.nodes)) }

// Nodes lists all known nodes by address.
func (v *View) Nodes() []Node {
	var out []Node
	for _, addr := range v.Addrs() {
		out = append(out, v.nodes[addr])
	}
	return out
}

// nodesAt lists those of the nodes at some addresses that are known.
func (v *View) nodesAt(addrs []string) []Node {
	var out []Node
	for _, addr := range addrs {
		if n, ok := v.nodes[addr]; ok {
			out = append(out, n)
		}
	}
	return out
}

// NewView builds the snapshot of nodes, keeping the loads of the one before.
func NewView(nodes map[string]Node, before *View) *View {
	loads := map[string]*Load{}
	if before != nil {
		for _, list := range before.byService {
			for _, t := range list {
				loads[t.key()] = t.Load
			}
		}
	}
	v := &View{byService: map[string][]Target{}, nodes: maps.Clone(nodes)}
	for _, addr := range slices.Sorted(maps.Keys(nodes)) {
		n := nodes[addr]
		for _, b := range n.Backends {
			t := Target{Backend: b, Node: n.Addr, Incarnation: n.Incarnation}
			if t.Load = loads[t.key()]; t.Load == nil {
				t.Load = new(Load)
			}
			v.byService[b.Service] = append(v.byService[b.Service], t)
		}
	}
	return v
}

func (t Target) key() string { return t.Node + " " + t.Service + " " + t.Instance }
