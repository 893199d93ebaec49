package watch

import (
	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// Event is one change. Exactly one field is set. An event without any field set stands for a
// control state that a newer one superseded.
type Event struct {
	// State is a newly committed control state. StatePatch is its difference from the control state
	// that the receiver has. It replaces State only in responses; an EventLog stores State.
	State *config.ControlState `msgpack:"w,omitempty"`
	// Node is a node that was added or changed. RemovedNode is the address of a node that was
	// removed.
	Node        *membership.Node `msgpack:"n,omitempty"`
	RemovedNode string           `msgpack:"g,omitempty"`
	StatePatch  *config.Patch    `msgpack:"p,omitempty"`
}

// superseded reports whether the event was a control state that a newer one superseded.
func (event Event) superseded() bool { return event == Event{} }
