package consensus

import "curlewwalk/internal/config"

// Vote is an acceptor's response.
type Vote struct {
	From     From          `msgpack:"f"`
	Act      Act           `msgpack:"a"`
	Epoch    uint64        `msgpack:"e"`
	OK       bool          `msgpack:"ok"`
	Phase    Phase         `msgpack:"ph"`
	Promised uint64        `msgpack:"p"`
	Mark     Mark          `msgpack:"m"`
	Word     config.Word   `msgpack:"w"`
	Settled  uint64        `msgpack:"se"`
	Seats    map[int]Chair `msgpack:"st"`
	// Sets are those of the word that it holds.
	Sets Sets `msgpack:"sg"`
}

// member is the acceptor as a member of the sets that it holds, which tell its address.
func (v Vote) member() config.Member {
	for _, m := range v.Sets.Union() {
		if has([]config.Member{m}, v.From) {
			return m
		}
	}
	return config.Member{Slot: v.From.Slot, ID: v.From.ID}
}

// By checks that a vote came from a member. One that has no seat for sure is told by
// its identity: it may know of no slot yet, or of one that it was not given after all.
func (v Vote) By(m config.Member) *Vote {
	if v.Phase == Seeking && m.ID != 0 && v.From.ID == m.ID {
		v.From.Slot = m.Slot
	}
	if v.From.Slot != m.Slot {
		return nil
	}
	return &v
}
