package membership

import (
	"time"

	"curlewwalk/internal/config"
)

// KindGossip is the call's kind on the wire.
const KindGossip = "gossip"

// Gossip asks another sidecar, for want of a core, for what it has heard.
// (DESIGN 7.4)
type Gossip struct {
	// Own names the asker, so that who does not know it can ask it in turn.
	Own Peer `msgpack:"o"`
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
	// Word asks for the word, if its stamp is above Stamp.
	Word  bool   `msgpack:"w,omitempty"`
	Stamp uint64 `msgpack:"s,omitempty"`
	// DesiredStamp is that of the configuration that the asker has: it isn't sent again.
	DesiredStamp uint64 `msgpack:"d,omitempty"`
}

// Gossiped answers a Gossip.
type Gossiped struct {
	// Peers are the answerer itself and all that it knows of.
	Peers []Peer `msgpack:"p,omitempty"`
	// Word is the answerer's, if it was asked for and is newer than the asker's; without
	// its configuration if the asker has that one.
	Word *config.Word `msgpack:"w,omitempty"`
	// Nodes are those that were asked for, as far as the answerer has them.
	Nodes []Node `msgpack:"n,omitempty"`
	// Know is set if the answerer knows other seats of cores than the asker.
	Know []Seat `msgpack:"k,omitempty"`
}

// Peer names a sidecar.
type Peer struct {
	Addr string `msgpack:"a"`
	// Boot and Rev are of the soft state that the teller has of it; zero: it has none.
	Boot uint64 `msgpack:"b,omitempty"`
	Rev  uint64 `msgpack:"r,omitempty"`
	// Said is what it said of itself last, if that is not too old to be of use.
	Said *Statement `msgpack:"s,omitempty"`
}

// Statement is what a sidecar said of itself at a moment, or what was found of it.
type Statement struct {
	// Boot is the one that it is of; zero stands for that of its Peer.
	Boot uint64 `msgpack:"b,omitempty"`
	// Age is how many milliseconds ago it was said, rounded up: never more than that.
	Age uint32 `msgpack:"g,omitempty"`
	// Stamp is that of its word.
	Stamp uint64 `msgpack:"s,omitempty"`
	// Alone tells that it found that no majority of cores lives.
	Alone bool `msgpack:"a,omitempty"`
	// Dead tells that its machine refused a connection: no process is there.
	Dead bool `msgpack:"d,omitempty"`
}

// age is how old a moment is, for a Statement.
func age(at, now time.Time) uint32 {
	return uint32((max(0, now.Sub(at)) + time.Millisecond - 1) / time.Millisecond)
}

// own is what an answerer says of itself; nothing if it says none.
func (a *Gossiped) own(addr string) Statement {
	for _, p := range a.Peers {
		if p.Addr == addr && p.Said != nil {
			return *p.Said
		}
	}
	return Statement{}
}
