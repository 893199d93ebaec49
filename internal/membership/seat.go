package membership

// Seat is a core in its slot.
type Seat struct {
	Slot        int    `msgpack:"s" json:"slot"`
	Slots       int    `msgpack:"n" json:"slots"`
	Addr        string `msgpack:"a" json:"address"`
	Inc         uint64 `msgpack:"i" json:"incarnation"`
	Boot        uint64 `msgpack:"b" json:"boot"`
	Zone        string `msgpack:"l" json:"locality"`
	Established bool   `msgpack:"e" json:"established"`
	Settled     uint64 `msgpack:"st" json:"settled"`
	// Set is the set of slots of the newest word that it holds, whose stamp is Held;
	// Before is the set before, while it is not known to be settled.
	Set    []int  `msgpack:"set,omitempty" json:"set,omitempty"`
	Before []int  `msgpack:"bef,omitempty" json:"before,omitempty"`
	Held   uint64 `msgpack:"h,omitempty" json:"held,omitempty"`
	// Unable tells that the core can't do what the duty asks for: its disk takes no
	// writes, or it has no contact with a majority. (DESIGN 6.3)
	Unable bool `msgpack:"u,omitempty" json:"unable,omitempty"`
	// Wall is the core's wall clock, in nanoseconds, as it told this.
	Wall int64 `msgpack:"w,omitempty" json:"-"`
	// Mark is the core's own digest of all but Wall; zero of an older version.
	Mark uint64 `msgpack:"m,omitempty" json:"-"`
}
