package consensus

// Sender identifies a replica by its member ID, the incarnation in which its disk has that ID,
// and the disk ID, which was generated when the disk was empty.
type Sender struct {
	MemberID    int    `msgpack:"s"`
	Incarnation uint64 `msgpack:"i"`
	DiskID      uint64 `msgpack:"d"`
}

// MemberRecord is an acceptor's record of a member ID: the highest incarnation and the disk
// that has it. A DiskID of zero means that the disk is unknown.
type MemberRecord struct {
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	DiskID      uint64 `msgpack:"d" json:"id"`
}

// isCurrent reports whether, according to a record, the sender's disk has not been replaced.
func (s Sender) isCurrent(record MemberRecord) bool {
	return s.Incarnation > record.Incarnation || s.Incarnation == record.Incarnation && (record.DiskID == 0 || record.DiskID == s.DiskID)
}
