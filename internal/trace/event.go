package trace

import "time"

// Kind is the kind of an event, by its name in Zipkin.
type Kind string

// The four events of a span: the client's side records the first and the last, the server's
// side those in between.
const (
	ClientStart   Kind = "cs"
	ServerReceive Kind = "sr"
	ServerSend    Kind = "ss"
	ClientReceive Kind = "cr"
)

// Event is an event of a span, as a node has recorded it.
type Event struct {
	Trace  TraceID `msgpack:"t"`
	Span   ID      `msgpack:"s"`
	Parent ID      `msgpack:"p,omitempty"`
	Kind   Kind    `msgpack:"k"`
	// Counter is the span's logical counter. (DESIGN 2.6)
	Counter uint64 `msgpack:"c"`

	// Node and Incarnation name the process that recorded the event. At is the time by its
	// monotonic clock, which only compares with other events of the same process.
	Node        string        `msgpack:"n"`
	Incarnation uint64        `msgpack:"b"`
	At          time.Duration `msgpack:"at"`

	Route    string `msgpack:"w,omitempty"`
	Service  string `msgpack:"sv,omitempty"`
	Caller   string `msgpack:"cl,omitempty"`
	Instance string `msgpack:"i,omitempty"`
	// Status is that of HTTP.
	Status  int    `msgpack:"st,omitempty"`
	Outcome string `msgpack:"o,omitempty"`
	Reason  string `msgpack:"r,omitempty"`
	// Attempt numbers the attempts of a request.
	Attempt int `msgpack:"lg,omitempty"`

	// Link says how an outgoing call was linked to its cause, and Candidates are the spans
	// of all likely causes. (DESIGN 2.5)
	Link       Link `msgpack:"ln,omitempty"`
	Candidates []ID `msgpack:"cd,omitempty"`
}
