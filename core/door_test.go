package core

import (
	"testing"

	"curlewwalk/desired"
	"curlewwalk/register"
)

// A newcomer is ready only once the set that names it is in force by itself; a member
// stays ready while later changes go on, and a struck one is not ready.
func TestLacksSeat(t *testing.T) {
	before := []desired.Member{{Slot: 1, ID: 1}, {Slot: 2, ID: 2}, {Slot: 3, ID: 3}}
	now := append(before[:2:2], desired.Member{Slot: 4, ID: 4})
	changing := desired.Word{Slots: now, Formerly: before}
	changed := desired.Word{Slots: now}
	newcomer, struck := register.From{Slot: 4, Inc: 1, ID: 4}, register.From{Slot: 3, Inc: 1, ID: 3}
	for _, c := range []struct {
		name     string
		acceptor register.Acceptor
		joined   bool
		ready    bool
	}{
		{"no seat yet", register.Acceptor{Self: newcomer, Phase: register.Seeking, Word: changing}, false, false},
		{"seated by a change that is not finished", register.Acceptor{Self: newcomer, Phase: register.Established, Word: changing}, false, false},
		{"seated by a finished change", register.Acceptor{Self: newcomer, Phase: register.Established, Word: changed}, false, true},
		{"a member during a later change", register.Acceptor{Self: newcomer, Phase: register.Established, Word: changing}, true, true},
		{"struck", register.Acceptor{Self: struck, Phase: register.Established, Word: changed}, true, false},
	} {
		if why := lacksSeat(c.acceptor, c.joined); (why == "") != c.ready {
			t.Errorf("%s: %q", c.name, why)
		}
	}
}
