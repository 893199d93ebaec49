package consensus

import "curlewwalk/internal/config"

// Reply is an acceptor's response to a message of the same type and term.
type Reply struct {
	Sender Sender      `msgpack:"f"`
	Type   MessageType `msgpack:"a"`
	Term   uint64      `msgpack:"e"`
	// Granted reports whether the acceptor granted the request in the message.
	Granted bool  `msgpack:"ok"`
	Phase   Phase `msgpack:"ph"`
	// Promised is the highest term that the acceptor has promised.
	Promised uint64 `msgpack:"p"`
	// Position and State are the position and the control state that the acceptor accepted
	// last. The state is included only if the message type requires it.
	Position Position            `msgpack:"m"`
	State    config.ControlState `msgpack:"w"`
	// Committed is the highest revision that the acceptor knows to be committed.
	Committed uint64 `msgpack:"se"`
	// MemberRecords maps each member ID to the highest incarnation known to the acceptor and
	// the disk of that incarnation.
	MemberRecords map[int]MemberRecord `msgpack:"st"`
	// MemberSets holds the member sets of the accepted state.
	MemberSets MemberSets `msgpack:"sg"`
}

// sendingMember returns the sender as listed in its own member sets, which include its address.
func (r Reply) sendingMember() config.Member {
	for _, m := range r.MemberSets.Union() {
		if containsSender([]config.Member{m}, r.Sender) {
			return m
		}
	}
	return config.Member{MemberID: r.Sender.MemberID, DiskID: r.Sender.DiskID}
}

// FromMember returns the reply if it came from member m, and nil otherwise. A joining acceptor
// is identified by its disk ID, because it may not know its member ID yet, or may hold one
// whose assignment was never committed.
func (r Reply) FromMember(m config.Member) *Reply {
	if r.Phase == PhaseJoining && m.DiskID != 0 && r.Sender.DiskID == m.DiskID {
		r.Sender.MemberID = m.MemberID
	}
	if r.Sender.MemberID != m.MemberID {
		return nil
	}
	return &r
}
