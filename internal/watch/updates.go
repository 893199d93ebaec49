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
	// Age is an upper bound of the time since the moment as of which a quorum read of the replicas
	// confirmed that no control state newer than the responding replica's had been acknowledged.
	// The sidecar's lease counts from that moment.
	Age time.Duration `msgpack:"a"`
}
