package membership

// Replica is a core in its slot.
type Replica struct {
	MemberID          int    `msgpack:"s" json:"slot"`
	MemberCount       int    `msgpack:"n" json:"slots"`
	Addr              string `msgpack:"a" json:"address"`
	MemberIncarnation uint64 `msgpack:"i" json:"incarnation"`
	Incarnation       uint64 `msgpack:"b" json:"boot"`
	Zone              string `msgpack:"l" json:"locality"`
	Established       bool   `msgpack:"e" json:"established"`
	CommittedRevision uint64 `msgpack:"st" json:"settled"`
	// Members is the set of slots of the newest word that it holds, whose stamp is Held;
	// Before is the set before, while it is not known to be settled.
	Members          []int  `msgpack:"set,omitempty" json:"set,omitempty"`
	PreviousMembers  []int  `msgpack:"bef,omitempty" json:"before,omitempty"`
	AcceptedRevision uint64 `msgpack:"h,omitempty" json:"held,omitempty"`
	// Ineligible tells that the core can't do what the duty asks for: its disk takes no
	// writes, or it has no contact with a majority. (DESIGN 6.3)
	Ineligible bool `msgpack:"u,omitempty" json:"unable,omitempty"`
	// WallClock is the core's wall clock, in nanoseconds, as it told this.
	WallClock int64 `msgpack:"w,omitempty" json:"-"`
	// Digest is the core's own digest of all but Wall; zero of an older version.
	Digest uint64 `msgpack:"m,omitempty" json:"-"`
}
