package consensus

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

// A newcomer lost power between the sync of the word that names it and the sync of its
// oath. It has that seat all the same, once it hears that the word is settled.
func TestNamedBeforePowerWasLost(t *testing.T) {
	dir := t.TempDir()
	open := func() (*Disk, Acceptor) {
		v, err := storage.Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		d := &Disk{Vault: v}
		acceptor, err := d.Load(Start{})
		if err != nil {
			t.Fatal(err)
		}
		return d, acceptor
	}
	disk, newcomer := open()
	word := config.Word{Stamp: 5, Desired: []byte("{}"), Slots: append(set(1, 2), config.Member{Slot: 4, ID: newcomer.Self.ID}), Top: 4}
	propose := Ballot{From: From{Slot: 1, Inc: 1, ID: 101}, Act: Propose, Epoch: 9, Mark: Mark{9, 5}, Word: word}
	named, vote := newcomer.On(propose)
	if !vote.OK || named.Self.Slot != 4 {
		t.Fatalf("does not take its slot: %+v", named.Self)
	}
	named.OathDirty = false // power is lost before the oath is synced
	if err := disk.Save(named); err != nil {
		t.Fatal(err)
	}
	_, woken := open()
	if woken.Mark != propose.Mark {
		t.Fatalf("the word was not kept: %v", woken.Mark)
	}
	settle := propose
	settle.Act = Settle
	seated, _ := woken.On(settle)
	if !seated.Member() || seated.Self.Slot != 4 {
		t.Errorf("it is no member after the word that names it was settled: %s %+v", seated.Phase, seated.Self)
	}
	if !seated.OathDirty {
		t.Error("its seat would not be put on disk")
	}
}
