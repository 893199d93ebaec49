package consensus

// Sender identifies a replica: its member ID, the incarnation in which its disk has that ID,
// and the disk ID, which was drawn when the disk was empty.
type Sender struct {
	MemberID    int    `msgpack:"s"`
	Incarnation uint64 `msgpack:"i"`
	DiskID      uint64 `msgpack:"d"`
}

// MemberRecord is what an acceptor knows of a member ID: its highest incarnation, and the disk
// that has it. A DiskID of zero is not known.
type MemberRecord struct {
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	DiskID      uint64 `msgpack:"d" json:"id"`
}

// isCurrent reports whether no other disk has replaced the sender's, as far as a record says.
func (s Sender) isCurrent(record MemberRecord) bool {
	return s.Incarnation > record.Incarnation || s.Incarnation == record.Incarnation && (record.DiskID == 0 || record.DiskID == s.DiskID)
}
