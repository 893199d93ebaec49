package scale

import (
	"maps"
	"slices"

	"curlewwalk/wire"
)

// Line is one line of the results.
type Line struct {
	Version  string `json:"version"`
	Phase    string `json:"phase"`
	Sidecars int    `json:"sidecars"`
	Cores    int    `json:"cores,omitempty"`
	Services int    `json:"services,omitempty"`
	// Role, with its rates, or What, with its times or values, is set.
	Role    string             `json:"role,omitempty"`
	Nodes   int                `json:"nodes,omitempty"`
	Seconds float64            `json:"seconds,omitempty"`
	Net     map[string]Rate    `json:"net,omitempty"`
	Host    map[string]Rate    `json:"host,omitempty"`
	Usage   *Use               `json:"usage,omitempty"`
	What    string             `json:"what,omitempty"`
	Times   *Times             `json:"times,omitempty"`
	Values  map[string]float64 `json:"values,omitempty"`
	Fault   string             `json:"fault,omitempty"`
}

// Rate is what one node carries of one kind in a second.
type Rate struct {
	Calls         float64 `json:"calls"`
	CallBytes     float64 `json:"call_bytes"`
	Responses     float64 `json:"receipts"`
	ResponseBytes float64 `json:"receipt_bytes"`
}

// Use is what one process of a role uses.
type Use struct {
	// Processor is the share of one core.
	Processor   float64 `json:"processor"`
	Resident    float64 `json:"resident_bytes"`
	Heap        float64 `json:"heap_bytes"`
	Goroutines  float64 `json:"goroutines"`
	Descriptors float64 `json:"descriptors"`
}

// Times are a histogram's marks, in milliseconds.
type Times struct {
	Count int64   `json:"count"`
	Of    int64   `json:"of"`
	Half  float64 `json:"half"`
	Most  float64 `json:"p95"`
	Last  float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// in and out are a node's bytes a second, both sides together.
func (l Line) in() (bytes float64) {
	for _, r := range l.Net {
		bytes += r.ResponseBytes
	}
	for _, r := range l.Host {
		bytes += r.CallBytes
	}
	return bytes
}

func (l Line) out() (bytes float64) {
	for _, r := range l.Net {
		bytes += r.CallBytes
	}
	for _, r := range l.Host {
		bytes += r.ResponseBytes
	}
	return bytes
}

// messages are a node's frames a second, both ways.
func (l Line) messages() (n float64) {
	for _, side := range []map[string]Rate{l.Net, l.Host} {
		for _, r := range side {
			n += r.Calls + r.Responses
		}
	}
	return n
}

// rates takes the rates by kind of some nodes between two readings; nodes that are
// not in both are left out.
func rates(before, after []NodePage, seconds float64, of func(NodePage) map[string]wire.Count) (out map[string]Rate, nodes int) {
	first := map[string]NodePage{}
	for _, n := range before {
		first[n.Addr] = n
	}
	out = map[string]Rate{}
	for _, n := range after {
		old, ok := first[n.Addr]
		if !ok {
			continue
		}
		nodes++
		was := of(old)
		if old.Boot != n.Boot {
			was = nil // another life of the node
		}
		for kind, c := range of(n) {
			r, w := out[kind], was[kind]
			r.Calls += float64(c.Calls - w.Calls)
			r.CallBytes += float64(c.CallBytes - w.CallBytes)
			r.Responses += float64(c.Responses - w.Responses)
			r.ResponseBytes += float64(c.ResponseBytes - w.ResponseBytes)
			out[kind] = r
		}
	}
	for kind, r := range out {
		by := seconds * float64(nodes)
		if r == (Rate{}) {
			delete(out, kind)
			continue
		}
		out[kind] = Rate{r.Calls / by, r.CallBytes / by, r.Responses / by, r.ResponseBytes / by}
	}
	return out, nodes
}

// kinds lists the kinds of either.
func kinds(a, b map[string]Rate) []string {
	all := map[string]Rate{}
	maps.Copy(all, a)
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}
