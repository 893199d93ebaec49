package register

import "curlewwalk/desired"

// Result is what became of an order.
type Result string

// Taken: a majority holds it. Mismatch: the stamp to match was not the newest.
// NotTaken: it surely never will be. Unknown: it may still be found and
// finished.
const (
	Taken    Result = "taken"
	Mismatch Result = "mismatch"
	NotTaken Result = "not-taken"
	Unknown  Result = "unknown"
)

// Answer ends an order.
type Answer struct {
	ID     uint64       `msgpack:"i"`
	Result Result       `msgpack:"r"`
	Word   desired.Word `msgpack:"w"`
}
