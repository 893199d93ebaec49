package membership

import (
	"time"

	"curlewwalk/internal/config"
)

// KindGossip is the message kind of a GossipRequest on the wire.
const KindGossip = "gossip"

// GossipRequest requests information from another sidecar. Sidecars send it while no control plane
// replica delivers updates. (DESIGN 7.4)
type GossipRequest struct {
	// Sender identifies the requesting sidecar, so that a receiver that does not know it can send
	// it a request in turn.
	Sender Peer `msgpack:"o"`
	// Digest is the digest of the sender's ReplicaTable.
	Digest uint64 `msgpack:"d,omitempty"`
	// Fetch, if set, requests only the state that the sender lacks according to earlier responses.
	Fetch *Fetch `msgpack:"f,omitempty"`
}

// Fetch requests state that a sidecar has according to an earlier response. A Fetch is sent to one
// sidecar at a time, since a control state may be large.
type Fetch struct {
	// Nodes are the addresses of the requested nodes.
	Nodes []string `msgpack:"n,omitempty"`
	// State requests the control state if its revision is above Revision.
	State    bool   `msgpack:"w,omitempty"`
	Revision uint64 `msgpack:"s,omitempty"`
	// ConfigurationRevision is the revision of the sender's configuration. If the responder's
	// configuration has the same revision, the response omits it.
	ConfigurationRevision uint64 `msgpack:"d,omitempty"`
}

// GossipResponse is the response to a GossipRequest.
type GossipResponse struct {
	// Peers are the responder itself and all sidecars that it knows.
	Peers []Peer `msgpack:"p,omitempty"`
	// State is the responder's control state, if it was requested and is newer than the sender's.
	// It lacks the configuration if the sender already has that configuration.
	State *config.ControlState `msgpack:"w,omitempty"`
	// Nodes are the requested nodes that the responder knows.
	Nodes []Node `msgpack:"n,omitempty"`
	// KnownReplicas is set if the responder's ReplicaTable differs from the sender's.
	KnownReplicas []Replica `msgpack:"k,omitempty"`
}

// Peer describes a sidecar as another sidecar, the sender, knows it.
type Peer struct {
	Addr string `msgpack:"a"`
	// Incarnation and Version are those of the sender's copy of the sidecar's Node. Both are zero
	// if the sender has none.
	Incarnation uint64 `msgpack:"b,omitempty"`
	Version     uint64 `msgpack:"r,omitempty"`
	// Status is the newest status of the sidecar that the sender has. It is nil if there is none or
	// it is older than PeerStatusTTL.
	Status *PeerStatus `msgpack:"s,omitempty"`
}

// PeerStatus is the status that a sidecar reported of itself at some time, or the observation that
// the sidecar is dead.
type PeerStatus struct {
	// Incarnation is the incarnation that reported the status. Zero stands for the incarnation of
	// the Peer.
	Incarnation uint64 `msgpack:"b,omitempty"`
	// Age is the time since the status was reported, in milliseconds, rounded up. The status may be
	// younger than Age but never older.
	Age uint32 `msgpack:"g,omitempty"`
	// AppliedRevision is the revision of the control state that the sidecar has in force.
	AppliedRevision uint64 `msgpack:"s,omitempty"`
	// QuorumLost is set if the sidecar determined that no majority of the members is alive.
	QuorumLost bool `msgpack:"a,omitempty"`
	// Dead is set if the sidecar's address refused a connection: no process listens there.
	Dead bool `msgpack:"d,omitempty"`
}

// ageMilliseconds returns the time since at in the unit and the rounding of PeerStatus.Age.
func ageMilliseconds(at, now time.Time) uint32 {
	return uint32((max(0, now.Sub(at)) + time.Millisecond - 1) / time.Millisecond)
}

// statusOf returns the status of the sidecar at addr in the response, or the zero status if there
// is none.
func (r *GossipResponse) statusOf(addr string) PeerStatus {
	for _, p := range r.Peers {
		if p.Addr == addr && p.Status != nil {
			return *p.Status
		}
	}
	return PeerStatus{}
}
