package register

// From names a sender: its slot and the incarnation in which it sits there.
type From struct {
	Slot int    `msgpack:"s"`
	Inc  uint64 `msgpack:"i"`
}
