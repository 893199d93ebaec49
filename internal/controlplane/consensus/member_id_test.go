package consensus

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

// A joining replica loses power after the sync of the state that lists it and before the sync
// of its promise, which holds its member ID. It must still become a member once it learns that
// the state is committed.
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
		t.Fatalf("sender identity after the accept = %+v, want member 4", accepted.Self)
	}
	accepted.PromiseDirty = false // simulates the power loss before the promise is synced
	if err := store.save(accepted); err != nil {
		t.Fatal(err)
	}
	_, reloaded := open()
	if reloaded.Position != accept.Position {
		t.Fatalf("position after the reload = %v, want the accepted one", reloaded.Position)
	}
	commit := accept
	commit.Type = MsgCommit
	committed, _ := reloaded.Step(commit)
	if !committed.IsMember() || committed.Self.MemberID != 4 {
		t.Errorf("acceptor after the commit is %s as %+v, want established as member 4", committed.Phase, committed.Self)
	}
	if !committed.PromiseDirty {
		t.Error("the membership is not marked to be saved")
	}
}
