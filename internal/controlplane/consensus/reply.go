package consensus

import "curlewwalk/internal/config"

// Reply is an acceptor's answer to a message of the same type and term.
type Reply struct {
	Sender Sender      `msgpack:"f"`
	Type   MessageType `msgpack:"a"`
	Term   uint64      `msgpack:"e"`
	// Granted reports whether the acceptor did what the message asks for.
	Granted bool  `msgpack:"ok"`
	Phase   Phase `msgpack:"ph"`
	// Promised is the highest term that the acceptor has promised.
	Promised uint64 `msgpack:"p"`
	// Position and State are what it accepted last; the state only where the message needs it.
	Position Position            `msgpack:"m"`
	State    config.ControlState `msgpack:"w"`
	// Committed is the highest revision that it knows to be committed.
	Committed uint64 `msgpack:"se"`
	// MemberRecords has the highest incarnation that it knows of each member ID, and the disk that
	// has it.
	MemberRecords map[int]MemberRecord `msgpack:"st"`
	// MemberSets are those of its accepted state.
	MemberSets MemberSets `msgpack:"sg"`
}

// sendingMember is the acceptor as a member of its own member sets, which tell its address.
func (r Reply) sendingMember() config.Member {
	for _, m := range r.MemberSets.Union() {
		if containsSender([]config.Member{m}, r.Sender) {
			return m
		}
	}
	return config.Member{MemberID: r.Sender.MemberID, DiskID: r.Sender.DiskID}
}

// FromMember is the reply, if it came from a member, and nil if not. A joining acceptor is
// known by its disk ID: it may not know its member ID yet, or have one that it was not given
// after all.
func (r Reply) FromMember(m config.Member) *Reply {
	if r.Phase == PhaseJoining && m.DiskID != 0 && r.Sender.DiskID == m.DiskID {
		r.Sender.MemberID = m.MemberID
	}
	if r.Sender.MemberID != m.MemberID {
		return nil
	}
	return &r
}
