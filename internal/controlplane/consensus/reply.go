package consensus

import "curlewwalk/internal/config"

// Reply is an acceptor's response.
type Reply struct {
	Sender    Sender               `msgpack:"f"`
	Type      MessageType          `msgpack:"a"`
	Term      uint64               `msgpack:"e"`
	Granted   bool                 `msgpack:"ok"`
	Phase     Phase                `msgpack:"ph"`
	Promised  uint64               `msgpack:"p"`
	Position  Position             `msgpack:"m"`
	State     config.ControlState  `msgpack:"w"`
	Committed uint64               `msgpack:"se"`
	Members   map[int]MemberRecord `msgpack:"st"`
	// MemberSets are those of the word that it holds.
	MemberSets MemberSets `msgpack:"sg"`
}

// sendingMember is the acceptor as a member of the sets that it holds, which tell its address.
func (r Reply) sendingMember() config.Member {
	for _, m := range r.MemberSets.Union() {
		if containsSender([]config.Member{m}, r.Sender) {
			return m
		}
	}
	return config.Member{MemberID: r.Sender.MemberID, DiskID: r.Sender.DiskID}
}

// FromMember checks that a vote came from a member. One that has no seat for sure is told by
// its identity: it may know of no slot yet, or of one that it was not given after all.
func (r Reply) FromMember(m config.Member) *Reply {
	if r.Phase == PhaseJoining && m.DiskID != 0 && r.Sender.DiskID == m.DiskID {
		r.Sender.MemberID = m.MemberID
	}
	if r.Sender.MemberID != m.MemberID {
		return nil
	}
	return &r
}
