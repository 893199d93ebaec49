package watch

import "time"

// KindFollow is the call's kind on the wire.
const KindFollow = "follow"

// Follow asks for what came after a place of a feed. Wait is how long the core
// may hold the call when there is no news.
type Follow struct {
	Feed  uint64        `msgpack:"f"`
	Place uint64        `msgpack:"p"`
	Wait  time.Duration `msgpack:"w"`
	// Has is the fingerprint of the configuration that the follower was told last. Who
	// tells none is told configurations whole.
	Has []byte `msgpack:"h,omitempty"`
}
