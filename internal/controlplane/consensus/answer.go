package consensus

import "curlewwalk/internal/config"

// Result is what became of an order.
type Result string

// Taken: a majority holds it, or held it before something newer. Mismatch: the stamp
// to match was not the newest. Conflict: another configuration was taken under its
// number, and this one never will be. Overtaken: another order on its zone was taken
// after it came, and it has no effect of its own any more. NotTaken: it surely never will be. Unknown: it
// may still be found and finished. (DESIGN 6.3)
const (
	Taken     Result = "taken"
	Mismatch  Result = "mismatch"
	Conflict  Result = "conflict"
	Overtaken Result = "overtaken"
	NotTaken  Result = "not-taken"
	Unknown   Result = "unknown"
)

// Answer ends an order.
type Answer struct {
	ID     uint64      `msgpack:"i"`
	Result Result      `msgpack:"r"`
	Word   config.Word `msgpack:"w"`
}
