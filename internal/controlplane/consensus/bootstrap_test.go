package consensus

import (
	"testing"

	"curlewwalk/internal/config"
)

// A replica is an initial member only if it starts on an empty disk with NewCluster set and its
// own address in the list. After that, the membership on disk takes precedence over changed
// settings.
func TestBootstrap(t *testing.T) {
	initialMembers := []string{"a", "b", "c"}
	store := newStateStore(openTestStore(t))
	initial := mustLoad(t, store, Bootstrap{NewCluster: true, InitialMembers: initialMembers, AdvertiseAddr: "b"})
	if initial.Phase != PhaseEstablished || initial.Self.MemberID != 2 || !initial.IsMember() || len(initial.MemberSets().Current) != 3 {
		t.Errorf("acceptor on the first start = %+v, want established member 2 of 3", initial)
	}
	reloaded := mustLoad(t, store, Bootstrap{NewCluster: true, InitialMembers: []string{"x"}, AdvertiseAddr: "x"})
	if reloaded.Self != initial.Self || len(reloaded.MemberSets().Current) != 3 || !reloaded.IsMember() {
		t.Errorf("acceptor after a restart with other settings = %+v, want member 2 of 3", reloaded)
	}
	for _, bootstrap := range []Bootstrap{{InitialMembers: initialMembers, AdvertiseAddr: "b"}, {NewCluster: true, InitialMembers: initialMembers, AdvertiseAddr: "z"}, {}} {
		store := newStateStore(openTestStore(t))
		if acceptor := mustLoad(t, store, bootstrap); acceptor.Phase != PhaseJoining || acceptor.Self.MemberID != 0 || acceptor.IsMember() {
			t.Errorf("acceptor for %+v = %+v, want a joining one without a member ID", bootstrap, acceptor)
		}
	}
}

// A joining acceptor grants messages and becomes a member through the committed state that
// lists it. It counts as removed only after the state that finalizes its removal is committed,
// since its vote is needed until then.
func TestMembershipFollowsCommittedState(t *testing.T) {
	store := newStateStore(openTestStore(t))
	acceptor := mustLoad(t, store, Bootstrap{})
	state := config.ControlState{Revision: 1, Members: []config.Member{{MemberID: 1, DiskID: 7}, {MemberID: 4, DiskID: acceptor.Self.DiskID}}, PreviousMembers: []config.Member{{MemberID: 1, DiskID: 7}}, HighestMemberID: 4}
	position := Position{Term: termStride + 1, Revision: 1}
	acceptor, reply := acceptor.Step(Message{Type: MsgAccept, Term: position.Term, Position: position, State: state})
	if !reply.Granted || reply.Sender.MemberID != 4 || acceptor.Phase != PhaseJoining {
		t.Errorf("reply to a proposal that lists the acceptor = %+v, want granted by joining member 4", reply)
	}
	if err := store.save(acceptor); err != nil {
		t.Fatal(err)
	}
	acceptor = mustLoad(t, store, Bootstrap{})
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: position, State: state})
	if acceptor.Phase != PhaseEstablished || !acceptor.IsMember() || acceptor.Removed() {
		t.Errorf("acceptor after a commit that lists it = %+v, want an established member", acceptor)
	}
	removal := state
	removal.Revision, removal.Members, removal.PreviousMembers = 2, state.Members[:1], state.Members
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: Position{position.Term, 2}, State: removal})
	if acceptor.Removed() || acceptor.IsMember() {
		t.Errorf("acceptor before its removal is finalized = %+v, want neither a member nor removed", acceptor)
	}
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: Position{position.Term, 3}, State: finalizeReconfiguration(removal)})
	if !acceptor.Removed() {
		t.Errorf("acceptor after its removal is finalized = %+v, want removed", acceptor)
	}
	if rejoining := acceptor.Rejoining(99); rejoining.Phase != PhaseJoining || rejoining.Self.MemberID != 0 || rejoining.Position != acceptor.Position {
		t.Errorf("acceptor that rejoins = %+v, want a joining one without a member ID and at its previous position", rejoining)
	}
}
