package watch

import "time"

// News answers a Follow. With Snapshot set, the items are everything there is
// and what is not among them is gone.
type News struct {
	Feed     uint64 `msgpack:"f"`
	Place    uint64 `msgpack:"p"`
	Snapshot bool   `msgpack:"s"`
	Items    []Item `msgpack:"i"`
	// Age is how long ago, at most, the core knew that no newer word than what
	// it has told was acknowledged.
	Age time.Duration `msgpack:"a"`
}
