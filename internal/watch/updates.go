package watch

import "time"

// Updates answers a Request.
type Updates struct {
	// LogID and Offset are what the next Request continues from.
	LogID  uint64 `msgpack:"f"`
	Offset uint64 `msgpack:"p"`
	// Snapshot is set if Events are everything that exists: what is not among them is gone,
	// except for a control state that the watcher has already.
	Snapshot bool    `msgpack:"s"`
	Events   []Event `msgpack:"i"`
	// Age is how long ago, at most, the replica confirmed that no control state newer than its
	// own was acknowledged.
	Age time.Duration `msgpack:"a"`
}
