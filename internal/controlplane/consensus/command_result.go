package consensus

import "curlewwalk/internal/config"

// Outcome is what became of an order.
type Outcome string

// OutcomeCommitted: a majority holds it, or held it before something newer. Mismatch: the stamp
// to match was not the newest. Conflict: another configuration was taken under its
// number, and this one never will be. Overtaken: another order on its zone was taken
// after it came, and it has no effect of its own any more. OutcomeRejected: it surely never will be. Unknown: it
// may still be found and finished. (DESIGN 6.3)
const (
	OutcomeCommitted  Outcome = "taken"
	OutcomeMismatch   Outcome = "mismatch"
	OutcomeConflict   Outcome = "conflict"
	OutcomeSuperseded Outcome = "overtaken"
	OutcomeRejected   Outcome = "not-taken"
	OutcomeUnknown    Outcome = "unknown"
)

// CommandResult ends an order.
type CommandResult struct {
	ID      uint64              `msgpack:"i"`
	Outcome Outcome             `msgpack:"r"`
	State   config.ControlState `msgpack:"w"`
}
