// Package watch is how news reaches the data plane: a numbered feed that nodes
// follow from a place on, starting from a snapshot. (DESIGN 8)
package watch

import (
	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// Item is one change.
type Item struct {
	Word *config.Word     `msgpack:"w,omitempty"`
	Node *membership.Node `msgpack:"n,omitempty"`
	Gone string           `msgpack:"g,omitempty"`
	// Patch stands for Word, towards a follower that told what it has.
	Patch *config.Patch `msgpack:"p,omitempty"`
}

// overtaken tells whether the item was a word that a newer one came after.
func (it Item) overtaken() bool { return it == Item{} }
