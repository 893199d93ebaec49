package keyreplication

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
)

// Trusts is a decision value: which of an owner's claims are held by whom, and
// what must be entrusted anew because a holder has gone. (DESIGN 10.4)
type Trusts struct {
	own, zone string
	held      map[idempotency.Key]*trust
	bytes     int // of responses
}

type trust struct {
	Entry
	by    map[string]uint64 // boots of the holders, by address
	until time.Duration
}

// Lack is a claim that another node must take now.
type Lack struct {
	Entry
	To membership.Node
}

// NewTrusts makes the trusts of an owner.
func NewTrusts(own, zone string) *Trusts {
	return &Trusts{own: own, zone: zone, held: map[idempotency.Key]*trust{}}
}

// Held takes that a node holds a claim, in the state that e tells.
func (t *Trusts) Held(e Entry, by membership.Node, now time.Duration) {
	x := t.held[e.Key]
	if x == nil || x.Boot != e.Boot || x.N != e.N {
		t.forget(e.Key)
		x = &trust{by: map[string]uint64{}}
		t.held[e.Key] = x
	}
	if x.Response == nil {
		t.note(x, e, now)
	}
	x.by[by.Addr] = by.Incarnation
}

// Settle takes what was answered under a claim.
func (t *Trusts) Settle(e Entry, now time.Duration) {
	if x := t.held[e.Key]; x != nil && x.Boot == e.Boot && x.N == e.N {
		t.note(x, e, now)
	}
}

// note keeps what became of a claim. Beyond the bound its response is let go: that it
// was claimed is worth more than what was answered.
func (t *Trusts) note(x *trust, e Entry, now time.Duration) {
	if t.bytes+len(e.Response) > mostOf {
		e.Response = nil
	}
	t.bytes += len(e.Response) - len(x.Response)
	x.Entry, x.until = e, now+e.For
}

func (t *Trusts) forget(key idempotency.Key) {
	if x := t.held[key]; x != nil {
		t.bytes -= len(x.Response)
		delete(t.held, key)
	}
}

// Drop gives a claim up.
func (t *Trusts) Drop(e Entry) {
	if x := t.held[e.Key]; x != nil && x.Boot == e.Boot && x.N == e.N {
		t.forget(e.Key)
	}
}

// Lacking lists up to most claims that too few of the nodes in view hold, and who
// should take each. A holder in another boot has lost what it held.
func (t *Trusts) Lacking(nodes []membership.Node, most int, now time.Duration) (out []Lack) {
	boots := map[string]uint64{}
	for _, n := range nodes {
		boots[n.Addr] = n.Incarnation
	}
	for key, x := range t.held {
		if now >= x.until {
			t.forget(key)
			continue
		}
		holds := func(addr string) bool {
			boot, ok := x.by[addr]
			return ok && boots[addr] == boot
		}
		have := 0
		for addr := range x.by {
			if holds(addr) {
				have++
			}
		}
		want := min(Holders, len(nodes))
		if have >= want || len(out) >= most {
			continue
		}
		for _, n := range Choose(t.own, t.zone, key, nodes) {
			if holds(n.Addr) {
				continue
			}
			e := x.Entry
			e.For = x.until - now
			out = append(out, Lack{Entry: e, To: n})
			if have++; have == want {
				break
			}
		}
	}
	return out
}
