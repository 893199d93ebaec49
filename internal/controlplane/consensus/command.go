package consensus

import (
	"time"

	"curlewwalk/internal/config"
)

// CommandKind is what an operator wants done to the word.
type CommandKind string

// The kinds. Refresh changes nothing: it makes sure that the newest word is
// held by a majority.
const (
	CommandPutConfiguration CommandKind = "put"
	CommandEvacuate         CommandKind = "empty"
	CommandRevokeEvacuation CommandKind = "take-back"
	CommandRefresh          CommandKind = "refresh"
	// CommandPutCalendar puts the calendar of maintenance windows; Begin and End note that
	// one of them begins or is over.
	CommandPutCalendar CommandKind = "calendar"
	CommandBeginWindow CommandKind = "begin"
	CommandEndWindow   CommandKind = "end"
	// CommandReconfigure changes the set of slots: one comes, one goes, or one comes for another.
	CommandReconfigure CommandKind = "reseat"
)

// Command is one operator's write for the proposer.
type Command struct {
	ID      uint64      `msgpack:"i"`
	Kind    CommandKind `msgpack:"k"`
	Payload []byte      `msgpack:"b"`
	// Generation is the operator's own number of what is put, from 1; zero: none.
	Generation uint64 `msgpack:"ed,omitempty"`
	// Submitted is what the operator sent of a generation, if in another form.
	Submitted []byte `msgpack:"st,omitempty"`
	// Digest identifies a numbered configuration as it was sent.
	Digest []byte `msgpack:"dg,omitempty"`
	Zone   string `msgpack:"l"`
	// SinceRevision, of an order on a zone, is the newest settled stamp when it came: it is
	// not to undo what was ordered there after that. Nil: it can't be told.
	SinceRevision *uint64 `msgpack:"si,omitempty"`
	Window        string  `msgpack:"w,omitempty"`
	IfMatch       *uint64 `msgpack:"m"`
	// Joining is who comes with a Reseat, Out the slot that goes; zero for none. Of is
	// the set that it was decided on.
	Joining         config.Member   `msgpack:"sm"`
	Leaving         int             `msgpack:"ou,omitempty"`
	ExpectedMembers []config.Member `msgpack:"of,omitempty"`
	// RevisionsOnly says that of the word the answer needs only its numbers.
	RevisionsOnly bool          `msgpack:"br,omitempty"`
	Deadline      time.Duration `msgpack:"-"`
	// enqueuedAt is when the proposer took it.
	enqueuedAt time.Duration
	// proposedAt is the mark under which the order went out, if it did.
	proposedAt Position
}
