package keyreplication

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
)

// The kinds of call that a ReplicaServer answers.
const (
	// KindStore carries a Record to be stored, or its response; answered by a StoreReply.
	KindStore = "hold"
	// KindRelease carries a Record to be removed; answered by a StoreReply.
	KindRelease = "release"
	// KindHandover carries a HandoverRequest; answered by a HandoverReply.
	KindHandover = "handover"
)

// Record is a reservation as its replicas store it.
type Record struct {
	// Owner is the address of the sidecar that made the reservation, Incarnation tells
	// its processes apart, and Sequence numbers the reservations of an incarnation.
	Owner       string `msgpack:"o"`
	Incarnation uint64 `msgpack:"b"`
	Sequence    uint64 `msgpack:"n"`

	Key         idempotency.Key         `msgpack:"k"`
	Fingerprint idempotency.Fingerprint `msgpack:"p"`
	// TTL is how long the record is to be kept from its arrival on.
	TTL time.Duration `msgpack:"f"`
	// Response is the encoded response; nil while the request runs, and if the response
	// was too large to be replicated.
	Response []byte `msgpack:"r,omitempty"`
}

// sameReservation reports whether two records of an owner and a key are of the same
// reservation, not of one that was released and one made later.
func (r Record) sameReservation(other Record) bool {
	return r.Incarnation == other.Incarnation && r.Sequence == other.Sequence
}

// StoreReply answers KindStore and KindRelease.
type StoreReply struct {
	// Accepted says that the record is stored, or was superseded on its way.
	Accepted bool `msgpack:"t"`
	// Existing is the record that an earlier incarnation of the owner stored for the same
	// key, which a new one does not replace.
	Existing *Record `msgpack:"k,omitempty"`
}

// HandoverRequest asks for the records of a sidecar's earlier incarnations.
type HandoverRequest struct {
	Owner string `msgpack:"o"`
	// Incarnation is the one that asks; its own records are not handed over.
	Incarnation uint64 `msgpack:"b"`
}

// HandoverReply answers a HandoverRequest.
type HandoverReply struct {
	Records []Record `msgpack:"e"`
}
