package watch

import "time"

// KindWatch is the call's kind on the wire.
const KindWatch = "follow"

// Request asks for what came after a place of a feed. Wait is how long the core
// may hold the call when there is no news.
type Request struct {
	LogID  uint64        `msgpack:"f"`
	Offset uint64        `msgpack:"p"`
	Wait   time.Duration `msgpack:"w"`
	// StateFingerprint is the fingerprint of the configuration that the follower was told last. Who
	// tells none is told configurations whole.
	StateFingerprint []byte `msgpack:"h,omitempty"`
}
