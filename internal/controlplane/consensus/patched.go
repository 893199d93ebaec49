package consensus

import (
	"context"
	"sync"

	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// What holds a whole word is told as a difference from a word that the other one holds,
// under kinds of their own: who does not know them says so, as does who lacks the base,
// and is told the whole at once. (DESIGN 8.3)
const (
	KindPatchedBallot = "patched-ballot"
	KindPatchedOrder  = "patched-order"
)

const (
	faultBase  = "the base of the difference is not here"
	faultOrder = "not an order"
	faultDisk  = "the disk does not take it"
	faultVote  = "not a ballot"
)

// patchedBallot is a ballot without its word, and the word as a difference.
type patchedBallot struct {
	Ballot Ballot       `msgpack:"b"`
	Patch  config.Patch `msgpack:"p"`
}

// exchange remembers recent words, and which of them the others said that they hold. It
// only saves bytes: what it has wrong is found out by digest, and told whole.
type exchange struct {
	mu    sync.Mutex
	words config.Versions
	marks map[Mark]config.Fingerprint
	held  map[string]Mark // by address
}

// knownMarks bounds how many marks are remembered. (ours)
const knownMarks = 32

// note remembers which word another core holds.
func (e *exchange) note(addr string, m Mark) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == nil {
		e.held = map[string]Mark{}
	}
	e.held[addr] = m
}

// forget has the next word told whole.
func (e *exchange) forget(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, addr)
}

// add remembers a word under its mark.
func (e *exchange) add(m Mark, w config.Word) (v config.Version, ok bool) {
	v, err := config.NewVersion(w)
	if err != nil {
		return v, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.words.Add(v)
	if e.marks == nil || len(e.marks) >= knownMarks {
		e.marks = map[Mark]config.Fingerprint{}
	}
	e.marks[m] = v.Fingerprint
	return v, true
}

// ballot tells a ballot by a difference, if the other core is known to hold a base.
func (e *exchange) ballot(addr string, b Ballot) (patchedBallot, bool) {
	if b.Act != Propose && b.Act != Settle {
		return patchedBallot{}, false
	}
	target, ok := e.add(b.Mark, b.Word)
	if !ok {
		return patchedBallot{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	base, known := e.marks[e.held[addr]]
	if !known {
		return patchedBallot{}, false
	}
	p, short := e.words.Tell(target, base)
	b.Word = config.Word{}
	return patchedBallot{Ballot: b, Patch: p}, short
}

// order tells an order by its difference from a word that is held here.
func (e *exchange) order(o Order, m Mark, held config.Word) (config.Patch, bool) {
	target, err := config.NewVersion(o)
	base, ok := e.add(m, held)
	if err != nil || !ok {
		return config.Patch{}, false
	}
	return target.Against(base)
}

// apply makes what a patch tells, of the words of late or of the one held now.
func (e *exchange) apply(p config.Patch, own Acceptor) (config.Version, bool) {
	if v, ok := e.applied(p); ok {
		return v, true
	}
	if _, ok := e.add(own.Mark, own.Word); !ok {
		return config.Version{}, false
	}
	return e.applied(p)
}

func (e *exchange) applied(p config.Patch) (config.Version, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.words.Apply(p)
}

// ask brings a ballot to another core: by a difference if it is known to hold a word to
// make one from, and whole if that is not so or turns out not to be so.
func (k *Keeper) ask(ctx context.Context, addr string, b Ballot) (v Vote, ok bool) {
	if p, can := k.exchange.ballot(addr, b); can {
		r := k.Net.Call(ctx, addr, transport.Control, KindPatchedBallot, p)
		if ok = r.Into(&v); ok {
			k.exchange.note(addr, v.Mark)
			return v, true
		}
		if r.Fate != transport.Answered {
			return v, false
		}
		k.exchange.forget(addr)
	}
	if ok = k.Net.Call(ctx, addr, transport.Control, KindBallot, b).Into(&v); ok {
		k.exchange.note(addr, v.Mark)
	}
	return v, ok
}

// patchedBallot handles a ballot whose word is told as a difference.
func (k *Keeper) patchedBallot(ctx context.Context, in transport.Request) (any, string) {
	var p patchedBallot
	if !in.Into(&p) {
		return nil, faultVote
	}
	version, ok := k.exchange.apply(p.Patch, k.Acceptor())
	if !ok || version.Into(&p.Ballot.Word) != nil {
		return nil, faultBase
	}
	if _, ok := k.exchange.add(p.Ballot.Mark, p.Ballot.Word); !ok {
		return nil, faultBase
	}
	if v := k.vote(ctx, p.Ballot); v != nil {
		v.Sets = Sets{} // whoever proposes or settles knows them
		return v, ""
	}
	return nil, faultDisk
}

// Forward has another core carry an order out.
func (k *Keeper) Forward(ctx context.Context, addr string, o Order) transport.Response {
	o.Brief = o.Kind != Refresh
	own := k.Acceptor()
	if p, can := k.exchange.order(o, own.Mark, own.Word); can {
		r := k.Net.Call(ctx, addr, transport.Control, KindPatchedOrder, p)
		if r.Fate != transport.Answered || r.Fault != faultBase && !r.UnknownKind() {
			return r // it may have been carried out
		}
	}
	return k.Net.Call(ctx, addr, transport.Control, KindOrder, o)
}

// patchedOrder handles an order that is told as a difference.
func (k *Keeper) patchedOrder(ctx context.Context, in transport.Request) (any, string) {
	var p config.Patch
	if !in.Into(&p) {
		return nil, faultOrder
	}
	version, ok := k.exchange.apply(p, k.Acceptor())
	if !ok {
		return nil, faultBase
	}
	var o Order
	if version.Into(&o) != nil {
		return nil, faultOrder
	}
	return k.Write(ctx, o).told(o), ""
}

// told is the answer as another core needs it: with the numbers of its word only, if it
// asked so.
func (a Answer) told(o Order) Answer {
	if w := a.Word; o.Brief {
		a.Word = config.Word{Stamp: w.Stamp, DesiredStamp: w.DesiredStamp, CalendarStamp: w.CalendarStamp, Generation: w.Generation}
	}
	return a
}

// Handlers are what a keeper answers, by kind.
func (k *Keeper) Handlers() map[string]transport.Handler {
	return map[string]transport.Handler{
		KindBallot: k.Ballot, KindOrder: k.Order,
		KindPatchedBallot: k.patchedBallot, KindPatchedOrder: k.patchedOrder,
	}
}
