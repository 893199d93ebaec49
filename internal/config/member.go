package config

// Member is a slot with the disk that has it: each disk gets a slot of its own, and
// no slot is used twice. (DESIGN 6.5)
type Member struct {
	MemberID int `msgpack:"s" json:"slot"`
	// DiskID is the identity of the disk; zero for whichever sits in a static slot.
	DiskID uint64 `msgpack:"d,omitempty" json:"id,omitempty"`
	// Addr is where it stood when it was taken in.
	Addr string `msgpack:"a,omitempty" json:"address,omitempty"`
}
