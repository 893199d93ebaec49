package watch

import "time"

// Updates is the response to a Request.
type Updates struct {
	// LogID and Offset are the position from which the next Request continues.
	LogID  uint64 `msgpack:"f"`
	Offset uint64 `msgpack:"p"`
	// Snapshot is set if Events are the complete state. The watcher must remove everything that is
	// not in Events, except for a control state that it already has.
	Snapshot bool    `msgpack:"s"`
	Events   []Event `msgpack:"i"`
	// Age is an upper bound of the time since the replica confirmed that no control state newer
	// than its own was acknowledged.
	Age time.Duration `msgpack:"a"`
}
