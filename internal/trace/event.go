package trace

import "time"

// Kind is one of the four events of a span.
type Kind string

// The four events, by their Zipkin names.
const (
	ClientStart   Kind = "cs"
	ServerReceive Kind = "sr"
	ServerSend    Kind = "ss"
	ClientReceive Kind = "cr"
)

// Event is what a node saw of a span. Since is on the node's own monotonic
// clock and only compares with other events of the same node and boot.
type Event struct {
	Trace       TraceID       `msgpack:"t"`
	Span        ID            `msgpack:"s"`
	Parent      ID            `msgpack:"p,omitempty"`
	Kind        Kind          `msgpack:"k"`
	Counter     uint64        `msgpack:"c"`
	Node        string        `msgpack:"n"`
	Incarnation uint64        `msgpack:"b"`
	At          time.Duration `msgpack:"at"`
	Route       string        `msgpack:"w,omitempty"`
	Service     string        `msgpack:"sv,omitempty"`
	Caller      string        `msgpack:"cl,omitempty"`
	Instance    string        `msgpack:"i,omitempty"`
	Status      int           `msgpack:"st,omitempty"`
	Outcome     string        `msgpack:"o,omitempty"`
	Reason      string        `msgpack:"r,omitempty"`
	Attempt     int           `msgpack:"lg,omitempty"`
	// Link says how an outgoing call was tied to its cause. (DESIGN 2.5)
	Link       Link `msgpack:"ln,omitempty"`
	Candidates []ID `msgpack:"cd,omitempty"`
}
