package consensus

import (
	"testing"

	"curlewwalk/internal/config"
)

// An empty disk is an initial member at the first start only, and what the disk says wins over
// later settings.
func TestBootstrap(t *testing.T) {
	initialMembers := []string{"a", "b", "c"}
	store := newStateStore(openTestStore(t))
	initial := mustLoad(t, store, Bootstrap{NewCluster: true, InitialMembers: initialMembers, AdvertiseAddr: "b"})
	if initial.Phase != PhaseEstablished || initial.Self.MemberID != 2 || !initial.IsMember() || len(initial.MemberSets().Current) != 3 {
		t.Errorf("the initial member: %+v", initial)
	}
	reloaded := mustLoad(t, store, Bootstrap{NewCluster: true, InitialMembers: []string{"x"}, AdvertiseAddr: "x"})
	if reloaded.Self != initial.Self || len(reloaded.MemberSets().Current) != 3 || !reloaded.IsMember() {
		t.Errorf("the initial member, restarted: %+v", reloaded)
	}
	for _, bootstrap := range []Bootstrap{{InitialMembers: initialMembers, AdvertiseAddr: "b"}, {NewCluster: true, InitialMembers: initialMembers, AdvertiseAddr: "z"}, {}} {
		store := newStateStore(openTestStore(t))
		if acceptor := mustLoad(t, store, bootstrap); acceptor.Phase != PhaseJoining || acceptor.Self.MemberID != 0 || acceptor.IsMember() {
			t.Errorf("%+v: %+v", bootstrap, acceptor)
		}
	}
}

// A joining acceptor grants messages, and is a member by the committed state that names it; it
// is removed by the state that finalizes its removal, and not before.
func TestMembershipFollowsCommittedState(t *testing.T) {
	store := newStateStore(openTestStore(t))
	acceptor := mustLoad(t, store, Bootstrap{})
	state := config.ControlState{Revision: 1, Members: []config.Member{{MemberID: 1, DiskID: 7}, {MemberID: 4, DiskID: acceptor.Self.DiskID}}, PreviousMembers: []config.Member{{MemberID: 1, DiskID: 7}}, HighestMemberID: 4}
	position := Position{Term: termStride + 1, Revision: 1}
	acceptor, reply := acceptor.Step(Message{Type: MsgAccept, Term: position.Term, Position: position, State: state})
	if !reply.Granted || reply.Sender.MemberID != 4 || acceptor.Phase != PhaseJoining {
		t.Errorf("named by a proposal: %+v", reply)
	}
	if err := store.save(acceptor); err != nil {
		t.Fatal(err)
	}
	acceptor = mustLoad(t, store, Bootstrap{})
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: position, State: state})
	if acceptor.Phase != PhaseEstablished || !acceptor.IsMember() || acceptor.Removed() {
		t.Errorf("named by a committed state: %+v", acceptor)
	}
	removal := state
	removal.Revision, removal.Members, removal.PreviousMembers = 2, state.Members[:1], state.Members
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: Position{position.Term, 2}, State: removal})
	if acceptor.Removed() || acceptor.IsMember() {
		t.Errorf("removed before the reconfiguration is finalized: %+v", acceptor)
	}
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: Position{position.Term, 3}, State: finalizeReconfiguration(removal)})
	if !acceptor.Removed() {
		t.Errorf("not removed: %+v", acceptor)
	}
	if rejoining := acceptor.Rejoining(99); rejoining.Phase != PhaseJoining || rejoining.Self.MemberID != 0 || rejoining.Position != acceptor.Position {
		t.Errorf("rejoining: %+v", rejoining)
	}
}
