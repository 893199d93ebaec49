// Package watch is how news reaches the data plane: a numbered feed that nodes
// follow from a place on, starting from a snapshot. (DESIGN 8)
package watch

import (
	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// Event is one change.
type Event struct {
	State       *config.ControlState `msgpack:"w,omitempty"`
	Node        *membership.Node     `msgpack:"n,omitempty"`
	RemovedNode string               `msgpack:"g,omitempty"`
	// StatePatch stands for Word, towards a follower that told what it has.
	StatePatch *config.Patch `msgpack:"p,omitempty"`
}

// superseded tells whether the item was a word that a newer one came after.
func (event Event) superseded() bool { return event == Event{} }
