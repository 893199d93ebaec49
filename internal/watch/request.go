package watch

import "time"

// KindWatch is the message kind of a Request on the wire.
const KindWatch = "follow"

// Request asks a replica for the events of its log after an offset. The zero LogID and Offset ask
// for a snapshot.
type Request struct {
	LogID  uint64 `msgpack:"f"`
	Offset uint64 `msgpack:"p"`
	// Wait is how long the replica may wait for an event if there is none yet.
	Wait time.Duration `msgpack:"w"`
	// StateFingerprint is the fingerprint of the control state that the watcher has. If it is
	// empty, control states are sent in full.
	StateFingerprint []byte `msgpack:"h,omitempty"`
}
