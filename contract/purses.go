package contract

import (
	"maps"
	"sync/atomic"
	"time"

	"curlewwalk/rendezvous"
)

// Allowance is the allowance where the settings give none. (ours)
const Allowance = 20

// fewest is how long a smaller number of sharers is not believed: a node that
// was lost may have spent its share within the last 10 s.
const fewest = 12 * time.Second // (ours)

// Purses are a sidecar's purses by service. The steward tells who shares the
// allowance; traffic earns and spends.
type Purses struct {
	own string
	// allowance is how many extra legs to a service all sidecars together may make
	// beyond a fifth of its traffic.
	allowance int
	table     atomic.Pointer[map[string]*Purse]
	sharer    atomic.Pointer[[]string]
	// most is the largest number of sharers lately.
	most  int
	since time.Time
}

// NewPurses makes the purses of a node.
func NewPurses(own string, allowance int) *Purses {
	p := &Purses{own: own, allowance: allowance}
	p.table.Store(&map[string]*Purse{})
	p.sharer.Store(&[]string{own})
	return p
}

// Share tells which nodes share the allowance now. One thread calls it, at
// every beat.
func (p *Purses) Share(nodes []string, now time.Time) {
	if len(nodes) >= p.most || now.Sub(p.since) > fewest {
		p.most, p.since = len(nodes), now
		p.sharer.Store(&nodes)
	}
	for service, x := range *p.table.Load() {
		x.limit.Store(p.limit(service))
	}
}

// limit is how much the purse of a service may hold: an equal share, or, where
// that would be less than one leg, a whole one for the first in the agreed
// order and none for the others.
func (p *Purses) limit(service string) int64 {
	nodes := *p.sharer.Load()
	if len(nodes) <= p.allowance {
		return int64(p.allowance) * price / int64(max(1, len(nodes)))
	}
	for i, n := range rendezvous.Rank(service, nodes, func(n string) string { return n }) {
		if i == p.allowance {
			break
		}
		if n == p.own {
			return price
		}
	}
	return 0
}

func (p *Purses) purse(service string) *Purse {
	for {
		old := p.table.Load()
		if x, ok := (*old)[service]; ok {
			return x
		}
		next := maps.Clone(*old)
		x := &Purse{}
		x.limit.Store(p.limit(service))
		next[service] = x
		p.table.CompareAndSwap(old, &next)
	}
}

// Earn takes a first leg to a service.
func (p *Purses) Earn(service string) { p.purse(service).Earn() }

// Spend pays for an extra leg to a service, if there is enough.
func (p *Purses) Spend(service string) bool { return p.purse(service).Spend() }

// Held shows what each purse holds, in legs.
func (p *Purses) Held() map[string]float64 {
	out := map[string]float64{}
	for k, v := range *p.table.Load() {
		out[k] = float64(v.held.Load()) / price
	}
	return out
}
