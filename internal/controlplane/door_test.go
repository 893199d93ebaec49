package controlplane

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// A newcomer is ready only once the set that names it is in force by itself; a member
// stays ready while later changes go on, and a struck one is not ready.
func TestLacksSeat(t *testing.T) {
	before := []config.Member{{Slot: 1, ID: 1}, {Slot: 2, ID: 2}, {Slot: 3, ID: 3}}
	now := append(before[:2:2], config.Member{Slot: 4, ID: 4})
	changing := config.Word{Slots: now, Formerly: before}
	changed := config.Word{Slots: now}
	newcomer, struck := consensus.From{Slot: 4, Inc: 1, ID: 4}, consensus.From{Slot: 3, Inc: 1, ID: 3}
	for _, c := range []struct {
		name     string
		acceptor consensus.Acceptor
		joined   bool
		ready    bool
	}{
		{"no seat yet", consensus.Acceptor{Self: newcomer, Phase: consensus.Seeking, Word: changing}, false, false},
		{"seated by a change that is not finished", consensus.Acceptor{Self: newcomer, Phase: consensus.Established, Word: changing}, false, false},
		{"seated by a finished change", consensus.Acceptor{Self: newcomer, Phase: consensus.Established, Word: changed}, false, true},
		{"a member during a later change", consensus.Acceptor{Self: newcomer, Phase: consensus.Established, Word: changing}, true, true},
		{"struck", consensus.Acceptor{Self: struck, Phase: consensus.Established, Word: changed}, true, false},
	} {
		if why := lacksSeat(c.acceptor, c.joined); (why == "") != c.ready {
			t.Errorf("%s: %q", c.name, why)
		}
	}
}
