package membership

import (
	"time"

	"curlewwalk/internal/config"
)

// KindGossip is the call's kind on the wire.
const KindGossip = "gossip"

// GossipRequest asks another sidecar, for want of a core, for what it has heard.
// (DESIGN 7.4)
type GossipRequest struct {
	// Sender names the asker, so that who does not know it can ask it in turn.
	Sender Peer `msgpack:"o"`
	// Digest is that of the cores' seats that the asker knows.
	Digest uint64 `msgpack:"d,omitempty"`
	// Fetch asks for what the asker found that it lacks, and for nothing else.
	Fetch *Fetch `msgpack:"f,omitempty"`
}

// Fetch asks one sidecar for what it was found to have. It is asked of one at a time: a
// word may be large.
type Fetch struct {
	// Nodes names those whose soft state is wanted.
	Nodes []string `msgpack:"n,omitempty"`
	// State asks for the word, if its stamp is above Stamp.
	State    bool   `msgpack:"w,omitempty"`
	Revision uint64 `msgpack:"s,omitempty"`
	// ConfigurationRevision is that of the configuration that the asker has: it isn't sent again.
	ConfigurationRevision uint64 `msgpack:"d,omitempty"`
}

// GossipResponse answers a Gossip.
type GossipResponse struct {
	// Peers are the answerer itself and all that it knows of.
	Peers []Peer `msgpack:"p,omitempty"`
	// State is the answerer's, if it was asked for and is newer than the asker's; without
	// its configuration if the asker has that one.
	State *config.ControlState `msgpack:"w,omitempty"`
	// Nodes are those that were asked for, as far as the answerer has them.
	Nodes []Node `msgpack:"n,omitempty"`
	// KnownReplicas is set if the answerer knows other seats of cores than the asker.
	KnownReplicas []Replica `msgpack:"k,omitempty"`
}

// Peer names a sidecar.
type Peer struct {
	Addr string `msgpack:"a"`
	// Incarnation and Rev are of the soft state that the teller has of it; zero: it has none.
	Incarnation uint64 `msgpack:"b,omitempty"`
	Version     uint64 `msgpack:"r,omitempty"`
	// Status is what it said of itself last, if that is not too old to be of use.
	Status *PeerStatus `msgpack:"s,omitempty"`
}

// PeerStatus is what a sidecar said of itself at a moment, or what was found of it.
type PeerStatus struct {
	// Incarnation is the one that it is of; zero stands for that of its Peer.
	Incarnation uint64 `msgpack:"b,omitempty"`
	// Age is how many milliseconds ago it was said, rounded up: never more than that.
	Age uint32 `msgpack:"g,omitempty"`
	// AppliedRevision is that of its word.
	AppliedRevision uint64 `msgpack:"s,omitempty"`
	// QuorumLost tells that it found that no majority of cores lives.
	QuorumLost bool `msgpack:"a,omitempty"`
	// Dead tells that its machine refused a connection: no process is there.
	Dead bool `msgpack:"d,omitempty"`
}

// ageMilliseconds is how old a moment is, for a Statement.
func ageMilliseconds(at, now time.Time) uint32 {
	return uint32((max(0, now.Sub(at)) + time.Millisecond - 1) / time.Millisecond)
}

// statusOf is what an answerer says of itself; nothing if it says none.
func (a *GossipResponse) statusOf(addr string) PeerStatus {
	for _, p := range a.Peers {
		if p.Addr == addr && p.Status != nil {
			return *p.Status
		}
	}
	return PeerStatus{}
}
