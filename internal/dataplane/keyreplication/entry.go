// Package keyreplication keeps what a missing node should have had: the claims on
// Idempotency-Keys, held by others and handed over when it comes back.
// (DESIGN 10.4)
package keyreplication

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
)

// The kinds on the wire.
const (
	KindHold     = "hold"
	KindRelease  = "release"
	KindHandover = "handover"
)

// Entry is one claim as others hold it.
type Entry struct {
	// Owner is the sidecar whose client laid the claim, in one boot; N numbers its
	// claims.
	Owner string `msgpack:"o"`
	Boot  uint64 `msgpack:"b"`
	N     uint64 `msgpack:"n"`

	Key   idempotency.Key   `msgpack:"k"`
	Print idempotency.Print `msgpack:"p"`
	// For is how long it is to be held from now on.
	For time.Duration `msgpack:"f"`
	// Response is set once the request has ended.
	Response []byte `msgpack:"r,omitempty"`
}

// Held answers that an entry was taken, or tells of the claim that an earlier
// boot of its owner laid on the same key.
type Held struct {
	Taken bool   `msgpack:"t"`
	Known *Entry `msgpack:"k,omitempty"`
}

// Handover asks for the claims of a node's earlier boots.
type Handover struct {
	Owner string `msgpack:"o"`
	Boot  uint64 `msgpack:"b"`
}

// Handed answers a Handover.
type Handed struct {
	Entries []Entry `msgpack:"e"`
}
