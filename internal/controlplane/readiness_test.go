package controlplane

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// A newcomer is ready only once the set that names it is in force by itself; a member
// stays ready while later changes go on, and a struck one is not ready.
func TestWhyNotMember(t *testing.T) {
	before := []config.Member{{MemberID: 1, DiskID: 1}, {MemberID: 2, DiskID: 2}, {MemberID: 3, DiskID: 3}}
	now := append(before[:2:2], config.Member{MemberID: 4, DiskID: 4})
	changing := config.ControlState{Members: now, PreviousMembers: before}
	changed := config.ControlState{Members: now}
	newcomer, struck := consensus.Sender{MemberID: 4, Incarnation: 1, DiskID: 4}, consensus.Sender{MemberID: 3, Incarnation: 1, DiskID: 3}
	for _, c := range []struct {
		name     string
		acceptor consensus.Acceptor
		joined   bool
		ready    bool
	}{
		{"no seat yet", consensus.Acceptor{Self: newcomer, Phase: consensus.PhaseJoining, State: changing}, false, false},
		{"seated by a change that is not finished", consensus.Acceptor{Self: newcomer, Phase: consensus.PhaseEstablished, State: changing}, false, false},
		{"seated by a finished change", consensus.Acceptor{Self: newcomer, Phase: consensus.PhaseEstablished, State: changed}, false, true},
		{"a member during a later change", consensus.Acceptor{Self: newcomer, Phase: consensus.PhaseEstablished, State: changing}, true, true},
		{"struck", consensus.Acceptor{Self: struck, Phase: consensus.PhaseEstablished, State: changed}, true, false},
	} {
		if why := whyNotMember(c.acceptor, c.joined); (why == "") != c.ready {
			t.Errorf("%s: %q", c.name, why)
		}
	}
}
