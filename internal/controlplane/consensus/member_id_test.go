package consensus

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

// A newcomer lost power between the sync of the word that names it and the sync of its
// oath. It has that seat all the same, once it hears that the word is settled.
func TestMemberIDAdoptedAfterPowerLoss(t *testing.T) {
	dir := t.TempDir()
	open := func() (*StateStore, Acceptor) {
		v, err := storage.Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		store := &StateStore{Store: v}
		acceptor, err := store.Load(Bootstrap{})
		if err != nil {
			t.Fatal(err)
		}
		return store, acceptor
	}
	disk, newcomer := open()
	state := config.ControlState{Revision: 5, Configuration: []byte("{}"), Members: append(memberSet(1, 2), config.Member{MemberID: 4, DiskID: newcomer.Self.DiskID}), HighestMemberID: 4}
	propose := Message{Sender: Sender{MemberID: 1, Incarnation: 1, DiskID: 101}, Type: MsgAccept, Term: 9, Position: Position{9, 5}, State: state}
	named, reply := newcomer.Step(propose)
	if !reply.Granted || named.Self.MemberID != 4 {
		t.Fatalf("does not take its slot: %+v", named.Self)
	}
	named.PromiseDirty = false // power is lost before the oath is synced
	if err := disk.Save(named); err != nil {
		t.Fatal(err)
	}
	_, woken := open()
	if woken.Position != propose.Position {
		t.Fatalf("the word was not kept: %v", woken.Position)
	}
	settle := propose
	settle.Type = MsgCommit
	seated, _ := woken.Step(settle)
	if !seated.IsMember() || seated.Self.MemberID != 4 {
		t.Errorf("it is no member after the word that names it was settled: %s %+v", seated.Phase, seated.Self)
	}
	if !seated.PromiseDirty {
		t.Error("its seat would not be put on disk")
	}
}
