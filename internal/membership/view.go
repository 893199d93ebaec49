package membership

import (
	"maps"
	"slices"
)

// View is the snapshot of the data plane that is used to route requests: the known nodes and, for
// each service, the backends that may be chosen. It is immutable. It may be outdated, so the
// backend's sidecar decides whether to accept a request.
type View struct {
	byService map[string][]Target
	nodes     map[string]Node
}

// Target is one backend with its sidecar.
type Target struct {
	Backend
	// Node is the address of the sidecar. Incarnation identifies the sidecar's process.
	Node        string
	Incarnation uint64
	// Load is shared by all views that contain the same backend.
	Load *Load
}

// NewView returns the view of the given nodes, which are keyed by address. Backends that are also
// in the previous view keep their Load. previous may be nil.
func NewView(nodes map[string]Node, previous *View) *View {
	loads := previous.loads()
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

// loads returns the loads of all targets by their keys.
func (v *View) loads() map[string]*Load {
	out := map[string]*Load{}
	if v == nil {
		return out
	}
	for _, targets := range v.byService {
		for _, t := range targets {
			out[t.key()] = t.Load
		}
	}
	return out
}

// key identifies a backend across views.
func (t Target) key() string { return t.Node + " " + t.Service + " " + t.Instance }

// Service returns the targets of a service.
func (v *View) Service(name string) []Target { return v.byService[name] }

// Services returns the sorted names of the services that have backends.
func (v *View) Services() []string { return slices.Sorted(maps.Keys(v.byService)) }

// Addrs returns the sorted addresses of all nodes.
func (v *View) Addrs() []string { return slices.Sorted(maps.Keys(v.nodes)) }

// Nodes returns all nodes, sorted by address.
func (v *View) Nodes() []Node { return v.nodesAt(v.Addrs()) }

// nodesAt returns the nodes at the given addresses, skipping unknown addresses.
func (v *View) nodesAt(addrs []string) []Node {
	var out []Node
	for _, addr := range addrs {
		if n, ok := v.nodes[addr]; ok {
			out = append(out, n)
		}
	}
	return out
}
