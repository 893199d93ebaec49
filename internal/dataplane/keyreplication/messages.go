package keyreplication

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
)

// Kinds of calls that a ReplicaServer handles.
const (
	// KindStore carries a Record to be stored, or the response of a stored record. The reply
	// is a StoreReply.
	KindStore = "hold"
	// KindRelease carries a Record to be removed. The reply is a StoreReply.
	KindRelease = "release"
	// KindHandover carries a HandoverRequest. The reply is a HandoverReply.
	KindHandover = "handover"
)

// Record is the replicated form of a reservation.
type Record struct {
	// Owner is the address of the sidecar that made the reservation. Incarnation identifies
	// the process of that sidecar. Sequence numbers the reservations of an incarnation.
	Owner       string `msgpack:"o"`
	Incarnation uint64 `msgpack:"b"`
	Sequence    uint64 `msgpack:"n"`

	Key         idempotency.Key         `msgpack:"k"`
	Fingerprint idempotency.Fingerprint `msgpack:"p"`
	// TTL is how long a replica keeps the record after receiving it.
	TTL time.Duration `msgpack:"f"`
	// Response is the encoded response. It is nil while the request is running, and if the
	// response was too large to be replicated.
	Response []byte `msgpack:"r,omitempty"`
}

// sameReservation reports whether two records of the same owner and key belong to the same
// reservation. They do not if the first reservation was released and the key was reserved
// again.
func (r Record) sameReservation(other Record) bool {
	return r.Incarnation == other.Incarnation && r.Sequence == other.Sequence
}

// StoreReply is the reply to KindStore and KindRelease.
type StoreReply struct {
	// Accepted reports whether the record is stored, or a later one has already superseded it.
	// It is always set in the reply to KindRelease.
	Accepted bool `msgpack:"t"`
	// Existing is a record of an earlier incarnation of the owner with the same key. The new
	// record does not replace it.
	Existing *Record `msgpack:"k,omitempty"`
}

// HandoverRequest requests the records of the earlier incarnations of a sidecar.
type HandoverRequest struct {
	Owner string `msgpack:"o"`
	// Incarnation is the requesting incarnation. Its own records are not handed over.
	Incarnation uint64 `msgpack:"b"`
}

// HandoverReply is the reply to a HandoverRequest.
type HandoverReply struct {
	Records []Record `msgpack:"e"`
}
