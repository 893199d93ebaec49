// Package relay carries inquiries: the near side asks the decision object and
// obeys, the far side passes legs through the gate to the backend. (DESIGN 4, 10)
package relay

import (
	"net/http"
	"time"

	"curlewwalk/way"
)

// KindLeg and KindRecall are kinds on the wire.
const (
	KindLeg    = "leg"
	KindRecall = "recall"
)

// Leg is one attempt of an inquiry, as the near sidecar sends it.
type Leg struct {
	// ID is unique to the leg; the far sidecar never runs one twice.
	ID       string        `msgpack:"id"`
	N        int           `msgpack:"n"`
	Service  string        `msgpack:"s"`
	Instance string        `msgpack:"i"`
	Boot     uint64        `msgpack:"bt"`
	Way      string        `msgpack:"w"`
	Rank     int           `msgpack:"rk"`
	Left     time.Duration `msgpack:"l"`
	// Aim is the time left until the inquiry is late; it waits no longer.
	Aim time.Duration `msgpack:"am"`
	// Patient says that it rather waits to be late than be refused.
	Patient bool `msgpack:"pt,omitempty"`
	// Repeatable says that running it twice does no harm.
	Repeatable bool        `msgpack:"rp,omitempty"`
	Caller     string      `msgpack:"c,omitempty"`
	Method     string      `msgpack:"m"`
	URI        string      `msgpack:"u"`
	Host       string      `msgpack:"h"`
	Header     http.Header `msgpack:"hd"`
	// Trailer is what the client sent behind its body.
	Trailer http.Header `msgpack:"tr,omitempty"`
	Body    []byte      `msgpack:"b"`
}

// late is the time left in which a late answer is still worth something.
func (l *Leg) late() time.Duration {
	if !l.Patient {
		return 0
	}
	return l.Left
}

// LegReceipt is what the far sidecar tells of a leg.
type LegReceipt struct {
	ID     string      `msgpack:"id"`
	Fate   way.Fate    `msgpack:"f"`
	Reason string      `msgpack:"r,omitempty"`
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h"`
	// Trailer is what the backend sent behind its body.
	Trailer http.Header `msgpack:"tr,omitempty"`
	Body    []byte      `msgpack:"b"`
	// Reached says that the leg came to a backend, though it may not have run.
	Reached bool `msgpack:"rd,omitempty"`
	// Open is how many inquiries the backend has open.
	Open int `msgpack:"o"`
	// Back is when a refused inquiry should come again.
	Back time.Duration `msgpack:"bk,omitempty"`
}

// Recall asks a far sidecar, in one incarnation of it, to let a leg never run.
type Recall struct {
	ID   string `msgpack:"id"`
	Boot uint64 `msgpack:"bt"`
}
