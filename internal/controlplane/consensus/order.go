package consensus

import (
	"time"

	"curlewwalk/internal/config"
)

// OrderKind is what an operator wants done to the word.
type OrderKind string

// The kinds. Refresh changes nothing: it makes sure that the newest word is
// held by a majority.
const (
	Put      OrderKind = "put"
	Empty    OrderKind = "empty"
	TakeBack OrderKind = "take-back"
	Refresh  OrderKind = "refresh"
	// Calendar puts the calendar of maintenance windows; Begin and End note that
	// one of them begins or is over.
	Calendar OrderKind = "calendar"
	Begin    OrderKind = "begin"
	End      OrderKind = "end"
	// Reseat changes the set of slots: one comes, one goes, or one comes for another.
	Reseat OrderKind = "reseat"
)

// Order is one operator's write for the proposer.
type Order struct {
	ID    uint64    `msgpack:"i"`
	Kind  OrderKind `msgpack:"k"`
	Bytes []byte    `msgpack:"b"`
	// Generation is the operator's own number of what is put, from 1; zero: none.
	Generation uint64 `msgpack:"ed,omitempty"`
	// Sent is what the operator sent of a generation, if in another form.
	Sent []byte `msgpack:"st,omitempty"`
	// Digest identifies a numbered configuration as it was sent.
	Digest []byte `msgpack:"dg,omitempty"`
	Zone   string `msgpack:"l"`
	// Since, of an order on a zone, is the newest settled stamp when it came: it is
	// not to undo what was ordered there after that. Nil: it can't be told.
	Since   *uint64 `msgpack:"si,omitempty"`
	Window  string  `msgpack:"w,omitempty"`
	IfMatch *uint64 `msgpack:"m"`
	// Seat is who comes with a Reseat, Out the slot that goes; zero for none. Of is
	// the set that it was decided on.
	Seat config.Member   `msgpack:"sm"`
	Out  int             `msgpack:"ou,omitempty"`
	Of   []config.Member `msgpack:"of,omitempty"`
	// Brief says that of the word the answer needs only its numbers.
	Brief bool          `msgpack:"br,omitempty"`
	Until time.Duration `msgpack:"-"`
	// at is when the proposer took it.
	at time.Duration
	// proposed is the mark under which the order went out, if it did.
	proposed Mark
}
