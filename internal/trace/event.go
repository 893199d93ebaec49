package trace

import "time"

// Kind is the kind of an event. Its values are Zipkin's names.
type Kind string

// The four events of a span. The client records the first and the last one, the server those in
// between.
const (
	ClientStart   Kind = "cs"
	ServerReceive Kind = "sr"
	ServerSend    Kind = "ss"
	ClientReceive Kind = "cr"
)

// Event is an event of a span, recorded by one process.
type Event struct {
	Trace  TraceID `msgpack:"t"`
	Span   ID      `msgpack:"s"`
	Parent ID      `msgpack:"p,omitempty"`
	Kind   Kind    `msgpack:"k"`
	// Counter is the value of the span's logical counter at the event. (DESIGN 2.6)
	Counter uint64 `msgpack:"c"`

	// Node and Incarnation identify the process that recorded the event. At is the time of the event
	// by that process's monotonic clock. It can be compared only with events of the same process.
	Node        string        `msgpack:"n"`
	Incarnation uint64        `msgpack:"b"`
	At          time.Duration `msgpack:"at"`

	// Route and Service are those of the request. Caller is the service that sent it. Instance is
	// the backend instance that an attempt is sent to.
	Route    string `msgpack:"w,omitempty"`
	Service  string `msgpack:"sv,omitempty"`
	Caller   string `msgpack:"cl,omitempty"`
	Instance string `msgpack:"i,omitempty"`
	// Status is the HTTP status. Outcome is a value of routing.Outcome. Reason is the reason why the
	// request or attempt failed.
	Status  int    `msgpack:"st,omitempty"`
	Outcome string `msgpack:"o,omitempty"`
	Reason  string `msgpack:"r,omitempty"`
	// Attempt is the number of the attempt within its request. The last event of a request's own
	// span has the number of its attempts instead.
	Attempt int `msgpack:"lg,omitempty"`

	// Link is how the cause of an outgoing call was determined. Candidates are the spans of all
	// likely causes. (DESIGN 2.5)
	Link       Link `msgpack:"ln,omitempty"`
	Candidates []ID `msgpack:"cd,omitempty"`
}
