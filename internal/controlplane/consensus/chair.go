package consensus

// Chair is what an acceptor knows of a slot: the highest incarnation, and whose
// disk has it.
type Chair struct {
	Inc uint64 `msgpack:"i" json:"incarnation"`
	ID  uint64 `msgpack:"d" json:"id"`
}
