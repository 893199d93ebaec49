package consensus

import (
	"time"

	"curlewwalk/internal/config"
)

// CommandKind identifies the change that a command makes to the control state. The strings are
// sent over the wire.
type CommandKind string

const (
	// CommandPutConfiguration replaces the configuration.
	CommandPutConfiguration CommandKind = "put"
	// CommandEvacuate evacuates a zone.
	CommandEvacuate CommandKind = "empty"
	// CommandRevokeEvacuation revokes the evacuation of a zone and waives the zone's
	// maintenance windows in progress.
	CommandRevokeEvacuation CommandKind = "take-back"
	// CommandRefresh changes nothing. It ensures that a majority holds the newest state.
	CommandRefresh CommandKind = "refresh"
	// CommandPutCalendar replaces the calendar of maintenance windows.
	CommandPutCalendar CommandKind = "calendar"
	// CommandBeginWindow records that a maintenance window has begun.
	CommandBeginWindow CommandKind = "begin"
	// CommandEndWindow records that a maintenance window has ended.
	CommandEndWindow CommandKind = "end"
	// CommandReconfigure changes the member set: a member joins, leaves or replaces another.
	CommandReconfigure CommandKind = "reseat"
	// CommandRecordDepartures records that backend instances have departed.
	CommandRecordDepartures CommandKind = "depart"
)

// Command is a write to the control state that the proposer executes.
type Command struct {
	// ID is unique among the commands of one replica. The replica that executes the command
	// assigns it.
	ID   uint64      `msgpack:"i"`
	Kind CommandKind `msgpack:"k"`
	// Payload is the configuration or the calendar.
	Payload []byte `msgpack:"b"`
	// Generation is the number that the operator assigned to a configuration, from 1, or zero
	// if there is none.
	Generation uint64 `msgpack:"ed,omitempty"`
	// Submitted is the document that the operator submitted, if Payload was translated from it.
	Submitted []byte `msgpack:"st,omitempty"`
	// Digest is the config.SubmissionDigest of a configuration with a Generation.
	Digest []byte `msgpack:"dg,omitempty"`
	// Zone is the zone of an evacuation or a maintenance window.
	Zone string `msgpack:"l"`
	// SinceRevision is the newest committed revision at the time when a command on a zone was
	// received. The command must not override changes to that zone that were committed later.
	// It is nil if the revision is not known.
	SinceRevision *uint64 `msgpack:"si,omitempty"`
	// Window identifies a maintenance window.
	Window string `msgpack:"w,omitempty"`
	// IfMatch makes the command conditional on the newest revision: that of the calendar for a
	// command that replaces the calendar, and that of the configuration for all others. Nil
	// means unconditional.
	IfMatch *uint64 `msgpack:"m"`
	// Joining is the member that a reconfiguration adds, and Leaving is the ID of the member
	// that it removes; zero means none. ExpectedMembers is the member set on which the
	// reconfiguration was planned.
	Joining         config.Member   `msgpack:"sm"`
	Leaving         int             `msgpack:"ou,omitempty"`
	ExpectedMembers []config.Member `msgpack:"of,omitempty"`
	// Departed lists the backend instances of a command that records departures.
	Departed []string `msgpack:"dp,omitempty"`
	// RevisionsOnly is set if the sender needs only the revisions of the resulting state.
	RevisionsOnly bool `msgpack:"br,omitempty"`
	// Deadline is the time, since the replica's start, at which the proposer ends the command
	// if it is not finished.
	Deadline time.Duration `msgpack:"-"`
	// enqueuedAt is the time at which the proposer queued the command.
	enqueuedAt time.Duration
	// proposedAt is the position of the command's last proposal, or zero if it was not
	// proposed.
	proposedAt Position
}
