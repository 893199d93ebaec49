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
	KindStore    = "hold"
	KindRelease  = "release"
	KindHandover = "handover"
)

// Record is one claim as others hold it.
type Record struct {
	// Owner is the sidecar whose client laid the claim, in one boot; N numbers its
	// claims.
	Owner       string `msgpack:"o"`
	Incarnation uint64 `msgpack:"b"`
	Sequence    uint64 `msgpack:"n"`

	Key         idempotency.Key         `msgpack:"k"`
	Fingerprint idempotency.Fingerprint `msgpack:"p"`
	// TTL is how long it is to be held from now on.
	TTL time.Duration `msgpack:"f"`
	// Response is set once the request has ended.
	Response []byte `msgpack:"r,omitempty"`
}

// StoreReply answers that an entry was taken, or tells of the claim that an earlier
// boot of its owner laid on the same key.
type StoreReply struct {
	Accepted bool    `msgpack:"t"`
	Existing *Record `msgpack:"k,omitempty"`
}

// HandoverRequest asks for the claims of a node's earlier boots.
type HandoverRequest struct {
	Owner       string `msgpack:"o"`
	Incarnation uint64 `msgpack:"b"`
}

// HandoverReply answers a Handover.
type HandoverReply struct {
	Records []Record `msgpack:"e"`
}
