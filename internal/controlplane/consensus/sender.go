package consensus

// Sender identifies a replica by its member ID, its incarnation, and its disk ID.
//
// The incarnation distinguishes the disks that had the member ID. It is 1 for the first disk
// and increases when another disk takes over the member ID by MsgJoin, which occurs only with
// static membership. It is zero until the replica is established or its accepted state lists
// its disk.
//
// The disk ID of an initial member is derived from its address. Any other disk has a random ID,
// and gets a new one if its state is lost or its replica is removed from the member set.
type Sender struct {
	MemberID    int    `msgpack:"s"`
	Incarnation uint64 `msgpack:"i"`
	DiskID      uint64 `msgpack:"d"`
}

// MemberRecord is an acceptor's record of a member ID: the highest incarnation and the disk
// that has it. A DiskID of zero means that the disk is unknown. The zero value stands for a
// member ID without a record.
type MemberRecord struct {
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	DiskID      uint64 `msgpack:"d" json:"id"`
}

// isCurrent reports whether, according to a record, the sender's disk has not been replaced.
// Any disk with the recorded incarnation is current if the recorded disk is unknown.
func (s Sender) isCurrent(record MemberRecord) bool {
	return s.Incarnation > record.Incarnation || s.Incarnation == record.Incarnation && (record.DiskID == 0 || record.DiskID == s.DiskID)
}
