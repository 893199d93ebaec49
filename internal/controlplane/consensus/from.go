package consensus

// From names a sender: its slot, the incarnation in which it sits there, and
// the identity that its disk drew when it was empty.
type From struct {
	Slot int    `msgpack:"s"`
	Inc  uint64 `msgpack:"i"`
	ID   uint64 `msgpack:"d"`
}

// holds tells whether a sender still has its seat, as far as a chair says.
func (f From) holds(c Chair) bool {
	return f.Inc > c.Inc || f.Inc == c.Inc && (c.ID == 0 || c.ID == f.ID)
}
