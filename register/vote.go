package register

import "curlewwalk/desired"

// Vote is a voter's receipt.
type Vote struct {
	From     From          `msgpack:"f"`
	Act      Act           `msgpack:"a"`
	Epoch    uint64        `msgpack:"e"`
	OK       bool          `msgpack:"ok"`
	Phase    Phase         `msgpack:"ph"`
	Promised uint64        `msgpack:"p"`
	Mark     Mark          `msgpack:"m"`
	Word     desired.Word  `msgpack:"w"`
	Settled  uint64        `msgpack:"se"`
	Seats    map[int]Chair `msgpack:"st"`
}
