package membership

import (
	"time"

	"curlewwalk/internal/config"
)

// KindGossip is the message kind of a GossipRequest on the wire.
const KindGossip = "gossip"

// GossipRequest asks another sidecar for what it knows, while no control plane replica delivers
// updates. (DESIGN 7.4)
type GossipRequest struct {
	// Sender names the asking sidecar, so that one that does not know it can ask it in turn.
	Sender Peer `msgpack:"o"`
	// Digest is the digest of the sender's ReplicaTable.
	Digest uint64 `msgpack:"d,omitempty"`
	// Fetch, if set, asks for what the sender found that it lacks, and for nothing else.
	Fetch *Fetch `msgpack:"f,omitempty"`
}

// Fetch asks a sidecar for what it was found to have. It is sent to one sidecar at a time, since
// a control state may be large.
type Fetch struct {
	// Nodes are the addresses of the nodes whose state is asked for.
	Nodes []string `msgpack:"n,omitempty"`
	// State asks for the control state, if its revision is above Revision.
	State    bool   `msgpack:"w,omitempty"`
	Revision uint64 `msgpack:"s,omitempty"`
	// ConfigurationRevision is that of the configuration that the sender has: if the
	// responder's is the same, it is left out.
	ConfigurationRevision uint64 `msgpack:"d,omitempty"`
}

// GossipResponse answers a GossipRequest.
type GossipResponse struct {
	// Peers are the responder itself and all sidecars that it knows of.
	Peers []Peer `msgpack:"p,omitempty"`
	// State is the responder's control state, if it was asked for and is newer than the
	// sender's; without the configuration if the sender has that.
	State *config.ControlState `msgpack:"w,omitempty"`
	// Nodes are those that were asked for, as far as the responder has them.
	Nodes []Node `msgpack:"n,omitempty"`
	// KnownReplicas is set if the responder's ReplicaTable differs from the sender's.
	KnownReplicas []Replica `msgpack:"k,omitempty"`
}

// Peer is a sidecar as another one knows it.
type Peer struct {
	Addr string `msgpack:"a"`
	// Incarnation and Version are those of the Node that the sender has of it; zero if it has
	// none.
	Incarnation uint64 `msgpack:"b,omitempty"`
	Version     uint64 `msgpack:"r,omitempty"`
	// Status is the newest status of the sidecar that the sender has; nil if that is older
	// than PeerStatusTTL or there is none.
	Status *PeerStatus `msgpack:"s,omitempty"`
}

// PeerStatus is what a sidecar reported of itself at some time, or that it was found dead.
type PeerStatus struct {
	// Incarnation is the one that reported it; zero stands for that of the Peer.
	Incarnation uint64 `msgpack:"b,omitempty"`
	// Age is how long ago it was reported, in milliseconds, rounded up: it may be younger than
	// that but never older.
	Age uint32 `msgpack:"g,omitempty"`
	// AppliedRevision is the revision of the control state that the sidecar has in force.
	AppliedRevision uint64 `msgpack:"s,omitempty"`
	// QuorumLost is set if the sidecar found that no majority of the members is alive.
	QuorumLost bool `msgpack:"a,omitempty"`
	// Dead is set if its address refused a connection: no process listens there.
	Dead bool `msgpack:"d,omitempty"`
}

// ageMilliseconds returns the time since at as PeerStatus.Age has it.
func ageMilliseconds(at, now time.Time) uint32 {
	return uint32((max(0, now.Sub(at)) + time.Millisecond - 1) / time.Millisecond)
}

// statusOf returns the status that the response has of a sidecar; the zero status if none.
func (r *GossipResponse) statusOf(addr string) PeerStatus {
	for _, p := range r.Peers {
		if p.Addr == addr && p.Status != nil {
			return *p.Status
		}
	}
	return PeerStatus{}
}
