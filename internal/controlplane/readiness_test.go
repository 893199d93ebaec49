package controlplane

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// A replica that joins is ready only once the membership change that names it is finished; a member
// stays ready during later changes, and one that was removed is not ready.
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
		{"admitted by a change that is not finished", consensus.Acceptor{Self: joining, Phase: consensus.PhaseEstablished, State: changing}, false, false},
		{"admitted by a finished change", consensus.Acceptor{Self: joining, Phase: consensus.PhaseEstablished, State: changed}, false, true},
		{"a member during a later change", consensus.Acceptor{Self: joining, Phase: consensus.PhaseEstablished, State: changing}, true, true},
		{"removed", consensus.Acceptor{Self: removed, Phase: consensus.PhaseEstablished, State: changed}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if why := whyNotMember(c.acceptor, c.joined); (why == "") != c.ready {
				t.Errorf("not a member because %q; ready should be %v", why, c.ready)
			}
		})
	}
}
