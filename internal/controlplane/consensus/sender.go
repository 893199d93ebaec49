package consensus

// Sender names a sender: its slot, the incarnation in which it sits there, and
// the identity that its disk drew when it was empty.
type Sender struct {
	MemberID    int    `msgpack:"s"`
	Incarnation uint64 `msgpack:"i"`
	DiskID      uint64 `msgpack:"d"`
}

// isCurrent tells whether a sender still has its seat, as far as a chair says.
func (s Sender) isCurrent(record MemberRecord) bool {
	return s.Incarnation > record.Incarnation || s.Incarnation == record.Incarnation && (record.DiskID == 0 || record.DiskID == s.DiskID)
}
