package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"curlewwalk/internal/membership"
)

// Costs are what a sidecar has learned of its ways, by backend. Many threads
// learn; each looks for a moment only. (DESIGN 15.4)
type Costs struct {
	mu    sync.Mutex
	table map[costKey]*Cost
	start time.Time
}

type costKey struct{ route, node, instance string }

// CostPage shows one of them to an operator.
type CostPage struct {
	Route    string  `json:"way"`
	Node     string  `json:"node,omitempty"`
	Instance string  `json:"instance,omitempty"`
	Half     string  `json:"half"`
	Most     string  `json:"95%"`
	Missed   float64 `json:"missed"`
	Weight   float64 `json:"weight"`
}

const mostCosts = 4096 // (ours)

// NewCosts makes an empty table.
func NewCosts() *Costs { return &Costs{table: map[costKey]*Cost{}, start: time.Now()} }

// Learn takes an attempt that came back after a while, or that did not in time.
func (c *Costs) Learn(route string, t membership.Target, took time.Duration, missed bool) {
	now := time.Since(c.start)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range []costKey{{route: route}, {route, t.Node, t.Instance}} {
		x := c.table[k]
		if x == nil {
			if len(c.table) >= mostCosts {
				c.forget(now)
			}
			x = &Cost{at: now}
			c.table[k] = x
		}
		x.learn(took, missed, now)
	}
}

// forget drops what has aged away.
func (c *Costs) forget(now time.Duration) {
	for k, x := range c.table {
		if x.age(now); !x.Known() {
			delete(c.table, k)
		}
	}
}

// Of is what was learned of a way at a backend, or, if that is too little, of
// the way at all.
func (c *Costs) Of(route string, t membership.Target) Cost {
	now := time.Since(c.start)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range []costKey{{route, t.Node, t.Instance}, {route: route}} {
		if x := c.table[k]; x != nil {
			if x.age(now); x.Known() {
				known := *x
				known.lent = k.instance == "" && k.node == ""
				return known
			}
		}
	}
	return Cost{}
}

// Pages shows them all.
func (c *Costs) Pages() []CostPage {
	now := time.Since(c.start)
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []CostPage{}
	for k, x := range c.table {
		if x.age(now); x.sum < 0.01 {
			continue
		}
		page := CostPage{Route: k.route, Node: k.node, Instance: k.instance, Missed: x.mass[costBuckets] / x.sum, Weight: x.sum}
		for share, text := range map[float64]*string{0.5: &page.Half, 0.95: &page.Most} {
			d, ok := x.Quantile(share)
			if *text = d.Round(100 * time.Microsecond).String(); !ok {
				*text = "not in time"
			}
		}
		out = append(out, page)
	}
	slices.SortFunc(out, func(a, b CostPage) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}
