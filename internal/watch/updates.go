package watch

import "time"

// Updates answers a Follow. With Snapshot set, the items are everything there is
// and what is not among them is gone.
type Updates struct {
	LogID    uint64  `msgpack:"f"`
	Offset   uint64  `msgpack:"p"`
	Snapshot bool    `msgpack:"s"`
	Events   []Event `msgpack:"i"`
	// Age is how long ago, at most, the core knew that no newer word than what
	// it has told was acknowledged.
	Age time.Duration `msgpack:"a"`
}
