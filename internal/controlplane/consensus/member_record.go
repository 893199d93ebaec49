package consensus

// MemberRecord is what an acceptor knows of a slot: the highest incarnation, and whose
// disk has it.
type MemberRecord struct {
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	DiskID      uint64 `msgpack:"d" json:"id"`
}
