package consensus

import (
	"time"

	"curlewwalk/internal/config"
)

// CommandKind is what a command does to the control state. The strings go over the wire.
type CommandKind string

const (
	// CommandPutConfiguration replaces the configuration.
	CommandPutConfiguration CommandKind = "put"
	// CommandEvacuate has a zone evacuated.
	CommandEvacuate CommandKind = "empty"
	// CommandRevokeEvacuation ends that, and waives a maintenance window of the zone.
	CommandRevokeEvacuation CommandKind = "take-back"
	// CommandRefresh changes nothing: it makes sure that a majority holds the newest state.
	CommandRefresh CommandKind = "refresh"
	// CommandPutCalendar replaces the calendar of maintenance windows.
	CommandPutCalendar CommandKind = "calendar"
	// CommandBeginWindow notes that a maintenance window begins.
	CommandBeginWindow CommandKind = "begin"
	// CommandEndWindow notes that it is over.
	CommandEndWindow CommandKind = "end"
	// CommandReconfigure changes the member set: a member joins, leaves or replaces another.
	CommandReconfigure CommandKind = "reseat"
)

// Command is a write to the control state, for the proposer.
type Command struct {
	// ID tells the commands of one replica apart.
	ID   uint64      `msgpack:"i"`
	Kind CommandKind `msgpack:"k"`
	// Payload is the configuration or the calendar.
	Payload []byte `msgpack:"b"`
	// Generation is the operator's own number of a configuration, from 1; zero: none.
	Generation uint64 `msgpack:"ed,omitempty"`
	// Submitted is what the operator sent of a generation, if in another form.
	Submitted []byte `msgpack:"st,omitempty"`
	// Digest identifies a numbered configuration as it was sent.
	Digest []byte `msgpack:"dg,omitempty"`
	// Zone is that of an evacuation or a maintenance window.
	Zone string `msgpack:"l"`
	// SinceRevision, of a command on a zone, is the newest committed revision when it came: it
	// is not to undo what was committed for that zone after that. Nil: not known.
	SinceRevision *uint64 `msgpack:"si,omitempty"`
	// Window names a maintenance window.
	Window string `msgpack:"w,omitempty"`
	// IfMatch binds the command to the newest revision of the calendar, for one that replaces
	// it, and of the configuration for all others. Nil: not bound.
	IfMatch *uint64 `msgpack:"m"`
	// Joining is the member that a reconfiguration adds, Leaving the ID of the one that it
	// removes; zero for none. ExpectedMembers is the set that it was decided on.
	Joining         config.Member   `msgpack:"sm"`
	Leaving         int             `msgpack:"ou,omitempty"`
	ExpectedMembers []config.Member `msgpack:"of,omitempty"`
	// RevisionsOnly says that the sender needs only the revisions of the resulting state.
	RevisionsOnly bool `msgpack:"br,omitempty"`
	// Deadline is when nobody waits for the command any more, after the replica's start.
	Deadline time.Duration `msgpack:"-"`
	// enqueuedAt is when the proposer took it.
	enqueuedAt time.Duration
	// proposedAt is the position under which it was proposed last, if it was.
	proposedAt Position
}
