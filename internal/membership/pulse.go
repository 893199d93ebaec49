package membership

import "curlewwalk/internal/retrybudget"

// Pulse is what changes of a node without Rev, told to a core that has the node in
// that boot and revision. It is whole each time, so what was lost or overtaken
// before it does not matter. (DESIGN 7.1)
type Pulse struct {
	Addr string `msgpack:"a"`
	Boot uint64 `msgpack:"b"`
	Rev  uint64 `msgpack:"r"`
	Turn uint   `msgpack:"t"`

	Stamp   uint64       `msgpack:"s,omitempty"`
	Inc     uint64       `msgpack:"in,omitempty"`
	Accuses []Accusation `msgpack:"ac,omitempty"`
	// Open has the zones where anything is open.
	Open map[string]int64 `msgpack:"op,omitempty"`
	// Tallies are told more rarely; none is no news.
	Tallies *Tallies `msgpack:"ta,omitempty"`
}

// Tallies are a node's own, by contract; without any, it has none.
type Tallies struct {
	Budgets map[string]retrybudget.Tally `msgpack:"b,omitempty"`
}

// Pulse is the node's; with its tallies if they are due.
func (n Node) Pulse(due bool) Pulse {
	p := Pulse{Addr: n.Addr, Boot: n.Boot, Rev: n.Rev, Turn: n.Turn, Stamp: n.Stamp, Inc: n.Inc, Accuses: n.Accuses}
	for zone, open := range n.Open {
		if open != 0 {
			if p.Open == nil {
				p.Open = map[string]int64{}
			}
			p.Open[zone] = open
		}
	}
	if due {
		p.Tallies = &Tallies{Budgets: n.Budgets}
	}
	return p
}

// Take takes a pulse of the same boot and revision.
func (n Node) Take(p Pulse) Node {
	n.Turn, n.Stamp, n.Inc, n.Accuses, n.Open = p.Turn, p.Stamp, p.Inc, p.Accuses, p.Open
	if p.Tallies != nil {
		n.Budgets = p.Tallies.Budgets
	}
	return n
}
