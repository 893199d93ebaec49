package controlplane

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// A joining replica is ready only after the membership change that adds it is finished. A member
// stays ready during later membership changes. A removed replica is not ready.
func TestWhyNotMember(t *testing.T) {
	previous := []config.Member{{MemberID: 1, DiskID: 1}, {MemberID: 2, DiskID: 2}, {MemberID: 3, DiskID: 3}}
	current := append(previous[:2:2], config.Member{MemberID: 4, DiskID: 4})
	changing := config.ControlState{Members: current, PreviousMembers: previous}
	changed := config.ControlState{Members: current}
	joining, removed := consensus.Sender{MemberID: 4, Incarnation: 1, DiskID: 4}, consensus.Sender{MemberID: 3, Incarnation: 1, DiskID: 3}
	for _, c := range []struct {
		name     string
		acceptor consensus.Acceptor
		joined   bool
		ready    bool
	}{
		{"not admitted yet", consensus.Acceptor{Self: joining, Phase: consensus.PhaseJoining, State: changing}, false, false},
		{"admitted by an unfinished change", consensus.Acceptor{Self: joining, Phase: consensus.PhaseEstablished, State: changing}, false, false},
		{"admitted by a finished change", consensus.Acceptor{Self: joining, Phase: consensus.PhaseEstablished, State: changed}, false, true},
		{"a member during a later change", consensus.Acceptor{Self: joining, Phase: consensus.PhaseEstablished, State: changing}, true, true},
		{"removed", consensus.Acceptor{Self: removed, Phase: consensus.PhaseEstablished, State: changed}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if why := whyNotMember(c.acceptor, c.joined); (why == "") != c.ready {
				t.Errorf("got reason %q, want ready %v", why, c.ready)
			}
		})
	}
}
