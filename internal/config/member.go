package config

// Member is a member of the control plane: an ID that belongs to one disk. Each disk gets its own,
// and no ID is used twice. (DESIGN 6.5)
type Member struct {
	MemberID int `msgpack:"s" json:"slot"`
	// DiskID identifies the disk; zero for a founding member, which any disk may be.
	DiskID uint64 `msgpack:"d,omitempty" json:"id,omitempty"`
	// Addr is the address that the replica had when it was added.
	Addr string `msgpack:"a,omitempty" json:"address,omitempty"`
}
