package config

// Member is a member of the control plane. Its ID belongs to one disk: each disk gets its own
// member ID, and no ID is reused. (DESIGN 6.5)
type Member struct {
	MemberID int `msgpack:"s" json:"slot"`
	// DiskID identifies the disk. It is zero for an initial member, whose ID any disk may take.
	DiskID uint64 `msgpack:"d,omitempty" json:"id,omitempty"`
	// Addr is the address that the replica had when it was added.
	Addr string `msgpack:"a,omitempty" json:"address,omitempty"`
}
