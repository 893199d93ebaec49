package consensus

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

// A joining replica lost power between the sync of the state that names it and the sync of its
// promise. It is a member all the same, once it learns that the state is committed.
func TestMemberIDAdoptedAfterPowerLoss(t *testing.T) {
	dir := t.TempDir()
	open := func() (*stateStore, Acceptor) {
		disk, err := storage.Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		store := newStateStore(disk)
		acceptor, err := store.load(Bootstrap{})
		if err != nil {
			t.Fatal(err)
		}
		return store, acceptor
	}
	store, joining := open()
	state := config.ControlState{Revision: 5, Configuration: []byte("{}"), Members: append(memberSet(1, 2), config.Member{MemberID: 4, DiskID: joining.Self.DiskID}), HighestMemberID: 4}
	accept := Message{Sender: Sender{MemberID: 1, Incarnation: 1, DiskID: 101}, Type: MsgAccept, Term: 9, Position: Position{9, 5}, State: state}
	accepted, reply := joining.Step(accept)
	if !reply.Granted || accepted.Self.MemberID != 4 {
		t.Fatalf("does not adopt its member ID: %+v", accepted.Self)
	}
	accepted.PromiseDirty = false // power is lost before the promise is synced
	if err := store.save(accepted); err != nil {
		t.Fatal(err)
	}
	_, reloaded := open()
	if reloaded.Position != accept.Position {
		t.Fatalf("the state was not kept: %v", reloaded.Position)
	}
	commit := accept
	commit.Type = MsgCommit
	committed, _ := reloaded.Step(commit)
	if !committed.IsMember() || committed.Self.MemberID != 4 {
		t.Errorf("it is no member after the state that names it was committed: %s %+v", committed.Phase, committed.Self)
	}
	if !committed.PromiseDirty {
		t.Error("its membership would not be saved")
	}
}
