package relay

import (
	"context"
	"time"
)

// remember is how long a leg's id is kept: longer than any expiry. (ours)
const remember = 11 * time.Minute

// ledger remembers which legs were begun and which were refused, so that no
// leg is begun twice or after its refusal. (DESIGN 10.2)
type ledger struct {
	begin  chan mark
	refuse chan mark
}

type mark struct {
	id    string
	reply chan bool
}

type verdict struct {
	refused bool
	at      time.Time
}

func newLedger() *ledger { return &ledger{begin: make(chan mark), refuse: make(chan mark)} }

// run owns the ledger until ctx ends.
func (l *ledger) run(ctx context.Context) {
	seen := map[string]verdict{}
	var order []string
	for {
		var m mark
		refuse := false
		select {
		case <-ctx.Done():
			return
		case m = <-l.begin:
		case m = <-l.refuse:
			refuse = true
		}
		v, known := seen[m.id]
		if !known {
			v = verdict{refused: refuse, at: time.Now()}
			seen[m.id] = v
			order = append(order, m.id)
		}
		// To begin needs an unknown leg; to refuse needs one that never began.
		m.reply <- !known && !refuse || refuse && v.refused
		for len(order) > 0 && time.Since(seen[order[0]].at) > remember {
			delete(seen, order[0])
			order = order[1:]
		}
	}
}

func ask(ctx context.Context, ch chan<- mark, id string) bool {
	m := mark{id: id, reply: make(chan bool, 1)}
	select {
	case ch <- m:
		return <-m.reply
	case <-ctx.Done():
		return false
	}
}
