package watch

import "time"

// KindWatch is the message kind of a Request on the wire.
const KindWatch = "follow"

// Request requests the events of a replica's log after an offset. The zero LogID and Offset request
// a snapshot.
type Request struct {
	LogID  uint64 `msgpack:"f"`
	Offset uint64 `msgpack:"p"`
	// Wait is how long the replica may wait for an event if there is none yet.
	Wait time.Duration `msgpack:"w"`
	// StateFingerprint is the fingerprint of the control state that the watcher has. If it is
	// empty, the replica sends control states in full.
	StateFingerprint []byte `msgpack:"h,omitempty"`
}
