package proxy

import (
	"context"
	"time"
)

// remember is how long an attempt's id is kept: longer than any deadline. (ours)
const remember = 11 * time.Minute

// Ledger is a decision value: it remembers which attempts were begun and which were
// refused, so that no attempt is begun twice or after its refusal. (DESIGN 10.2)
type Ledger struct {
	seen  map[string]verdict
	order []string
}

type verdict struct {
	refused bool
	at      time.Duration
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{seen: map[string]verdict{}} }

// Begin lets an unknown attempt begin; false for any other.
func (l *Ledger) Begin(id string, now time.Duration) bool {
	_, known := l.note(id, false, now)
	return !known
}

// Refuse lets an attempt never begin; false if it has begun.
func (l *Ledger) Refuse(id string, now time.Duration) bool {
	v, _ := l.note(id, true, now)
	return v.refused
}

// note finds what is known of an attempt, or notes it.
func (l *Ledger) note(id string, refused bool, now time.Duration) (v verdict, known bool) {
	for len(l.order) > 0 && now-l.seen[l.order[0]].at > remember {
		delete(l.seen, l.order[0])
		l.order = l.order[1:]
	}
	if v, known = l.seen[id]; !known {
		v = verdict{refused: refused, at: now}
		l.seen[id] = v
		l.order = append(l.order, id)
	}
	return v, known
}

// ledgerKeeper runs a ledger. Its loop is the only one to touch it.
type ledgerKeeper struct {
	begin  chan mark
	refuse chan mark
	// ended is closed when the loop has ended: from then on nothing begins, and nothing is
	// known to be refused.
	ended chan struct{}
}

type mark struct {
	id    string
	reply chan bool
}

func newLedgerKeeper() *ledgerKeeper {
	return &ledgerKeeper{begin: make(chan mark), refuse: make(chan mark), ended: make(chan struct{})}
}

// run owns the ledger until ctx ends.
func (c *ledgerKeeper) run(ctx context.Context) {
	defer close(c.ended)
	l, start := NewLedger(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.begin:
			m.reply <- l.Begin(m.id, time.Since(start))
		case m := <-c.refuse:
			m.reply <- l.Refuse(m.id, time.Since(start))
		}
	}
}

// ask puts a question to the loop by one of its channels; false if ctx or the loop has ended.
func (c *ledgerKeeper) ask(ctx context.Context, question chan<- mark, id string) bool {
	m := mark{id: id, reply: make(chan bool, 1)}
	select {
	case question <- m:
		return <-m.reply
	case <-c.ended:
		return false
	case <-ctx.Done():
		return false
	}
}
