package consensus

import (
	"fmt"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

// unsettled lets a proposer's proposal reach one acceptor only: it is left half done.
func (b *bench) unsettled(slot, acceptor int) {
	b.t.Helper()
	for _, o := range b.sent[slot] {
		if o.Ballot.Act != Propose {
			b.t.Fatalf("%s is under way", o.Ballot.Act)
		}
		b.acceptors[acceptor-1], _ = b.acceptors[acceptor-1].On(*o.Ballot)
	}
	b.sent[slot] = nil
}

// One number stands for one configuration: the same bytes are acknowledged again at any
// core, also after later ones; other bytes are refused, whoever sends them.
func TestOneNumberOneConfiguration(t *testing.T) {
	b := newBench(t, 3)
	put := func(slot int, o Order, want Result) {
		t.Helper()
		id := b.give(slot, o)
		b.rest()
		b.expect(id, want)
	}
	put(1, generation(5, "five"), Taken)
	for slot := 1; slot <= 3; slot++ {
		put(slot, generation(5, "five"), Taken)
		put(slot, generation(5, "other"), Conflict)
	}
	put(2, generation(8, "eight"), Taken)
	put(3, Order{Kind: Empty, Zone: "west"}, Taken)
	put(3, Order{Kind: Put, Bytes: []byte("plain")}, Taken)
	for slot := 1; slot <= 3; slot++ {
		put(slot, generation(5, "five"), Taken)
		put(slot, generation(5, "other"), Conflict)
		put(slot, generation(8, "eight"), Taken)
		put(slot, generation(8, "other"), Conflict)
		put(slot, generation(6, "never taken"), Taken)
		put(slot, generation(6, "nor this"), Taken)
	}
	if w := b.newest(); string(w.Desired) != "plain" || w.Generation != 8 {
		t.Errorf("%+v", w)
	}
}

// What the operator sent is what is compared, not the form that an adapter made of it.
func TestConflictGoesByWhatWasSent(t *testing.T) {
	b := newBench(t, 3)
	put := func(desired, sent string, want Result) {
		t.Helper()
		id := b.give(1, Order{Kind: Put, Generation: 3, Bytes: []byte(desired), Sent: []byte(sent)})
		b.rest()
		b.expect(id, want)
	}
	put("a", "sent", Taken)
	put("a", "sent", Taken)
	put("a", "sent otherwise", Conflict)
	put("a", "", Conflict)
}

// Two operators race under one number, at one core or at two, whichever way the ballots
// fall among each other: one is taken and the other learns it, whichever core it asks.
func TestEqualNumbersRace(t *testing.T) {
	for steps := range 128 {
		b := newBench(t, 3)
		second := 1 + steps>>6&1
		one, two := b.give(1, generation(4, "one")), b.give(second, generation(4, "two"))
		for bit := range 6 {
			b.step(1 + steps>>bit&1)
		}
		for range 4 {
			b.rest()
		}
		w := b.newest()
		wants := map[string]Result{"one": Taken, "two": Taken}
		wants[map[string]string{"one": "two", "two": "one"}[string(w.Desired)]] = Conflict
		b.expect(one, wants["one"])
		b.expect(two, wants["two"])
		for slot := 1; slot <= 3; slot++ {
			for text, want := range wants {
				id := b.give(slot, generation(4, text))
				b.rest()
				b.expect(id, want)
			}
		}
		if t.Failed() {
			t.Fatalf("steps %b", steps)
		}
	}
}

// Among those that wait for a higher one, two have its number: the other bytes are
// refused; those of lower numbers, which nobody ever took, are acknowledged.
func TestEqualNumbersPileUp(t *testing.T) {
	b := newBench(t, 3)
	first := b.give(1, generation(1, "1"))
	for b.step(1) && b.proposed == 0 {
	}
	low, one, two, same := b.give(1, generation(2, "low")), b.give(1, generation(3, "one")), b.give(1, generation(3, "two")), b.give(1, generation(3, "one"))
	late := b.give(1, generation(1, "other"))
	b.rest()
	b.expect(first, Taken)
	b.expect(low, Taken)
	b.expect(one, Taken)
	b.expect(two, Conflict)
	b.expect(same, Taken)
	b.expect(late, Conflict)
	if b.proposed != 2 {
		t.Errorf("%d words were proposed", b.proposed)
	}
}

// An order that was left half done is found and finished by a later epoch, or it is
// not; either way its own bytes are told from another's under the same number.
func TestHalfDoneNumber(t *testing.T) {
	for _, found := range []bool{true, false} {
		t.Run(fmt.Sprint(found), func(t *testing.T) {
			b := newBench(t, 3)
			first := b.give(1, Order{Kind: Empty, Zone: "west"})
			b.rest()
			b.expect(first, Taken)
			one := b.give(1, generation(4, "one"))
			b.unsettled(1, 1)
			asks := 2
			if found {
				asks = 1
			}
			// The duty changes. The next epoch asks slot 3 and the one that has the
			// proposal, or slot 3 and the one that has not.
			two := b.give(3, generation(4, "two"))
			for range 8 {
				sent := b.sent[3]
				b.sent[3] = nil
				for _, o := range sent {
					for _, s := range []int{3, asks} {
						next, vote := b.acceptors[s-1].On(*o.Ballot)
						b.acceptors[s-1] = next
						b.obey(3, b.proposers[3].Hear(vote, b.now))
					}
				}
			}
			wantOne, wantTwo, held := Conflict, Taken, "two"
			if found {
				wantOne, wantTwo, held = Taken, Conflict, "one"
			}
			b.expect(two, wantTwo)
			for range 3 {
				b.rest()
			}
			b.expect(one, wantOne)
			if w := b.newest(); string(w.Desired) != held {
				t.Errorf("%+v", w)
			}
		})
	}
}

// A number that was taken long ago is acknowledged whatever comes under it: no repeat of
// a taken one is ever refused, and the record is bounded.
func TestTakenNumbersAreBounded(t *testing.T) {
	b := newBench(t, 1)
	put := func(o Order, want Result) {
		t.Helper()
		id := b.give(1, o)
		for b.step(1) {
		}
		b.expect(id, want)
	}
	text := func(n uint64) string { return fmt.Sprint("configuration ", n) }
	const most = 300
	for n := uint64(1); n <= most; n++ {
		put(generation(n, text(n)), Taken)
	}
	known := 0
	for n := uint64(1); n <= most; n++ {
		put(generation(n, text(n)), Taken)
		id := b.give(1, generation(n, "other"))
		if b.answers[id].Result == Conflict {
			known++
		} else if known > 0 {
			t.Fatalf("%d is not known any more, and an older one is", n)
		}
	}
	if known < 8 || known > most/2 {
		t.Errorf("%d are known", known)
	}
}

// What was taken under which number outlives a restart; of a word from before there was
// a record, what the operator sent tells it.
func TestTakenNumbersOnDisk(t *testing.T) {
	v, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	b := newBench(t, 1)
	put := func(o Order, want Result) {
		t.Helper()
		id := b.give(1, o)
		for b.step(1) {
		}
		b.expect(id, want)
	}
	again := func() {
		t.Helper()
		acceptor, err := (&Disk{Vault: v}).Load(Start{Slot: 1, Slots: 1})
		if err != nil || acceptor.Phase != Established {
			t.Fatal(acceptor.Phase, err)
		}
		b.acceptors[0], b.proposers[1] = acceptor, &Proposer{}
		b.proposers[1].Follow(acceptor, b.now)
	}
	put(generation(3, "three"), Taken)
	put(generation(4, "four"), Taken)
	acceptor := b.acceptors[0]
	acceptor.OathDirty, acceptor.WordDirty = true, true
	if err := (&Disk{Vault: v}).Save(acceptor); err != nil {
		t.Fatal(err)
	}
	again()
	put(generation(4, "four"), Taken)
	put(generation(4, "other"), Conflict)
	put(generation(3, "three"), Taken)
	put(generation(3, "other"), Conflict)

	old := "{\"epoch\":4000000,\"stamp\":9,\"desired_stamp\":9,\"emptied\":null,\"edition\":7,\"sent\":\"c2VudCBzZXZlbg==\"}\nseven"
	if err := v.Save(kindWord, "00000000000004000000.00000000000000000009", []byte(old)); err != nil {
		t.Fatal(err)
	}
	b.now += time.Minute
	again()
	put(generation(7, "seven"), Taken)
	put(generation(7, "other"), Conflict)
	put(generation(6, "six"), Taken)
	old = "{\"epoch\":5000000,\"stamp\":10,\"desired_stamp\":10,\"emptied\":null,\"edition\":7}\nput without a number"
	if err := v.Save(kindWord, "00000000000005000000.00000000000000000010", []byte(old)); err != nil {
		t.Fatal(err)
	}
	again()
	put(generation(7, "seven"), Taken) // it can't be told any more
}

// loaded is a word as it comes back from disk.
func loaded(t *testing.T, w config.Word) config.Word {
	t.Helper()
	v, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	acceptor := seated(1, Mark{Epoch: 1, Stamp: w.Stamp}, w)
	acceptor.OathDirty, acceptor.WordDirty = true, true
	if err := (&Disk{Vault: v}).Save(acceptor); err != nil {
		t.Fatal(err)
	}
	got, err := (&Disk{Vault: v}).Load(Start{})
	if err != nil || got.Phase != Established {
		t.Fatal(got.Phase, err)
	}
	return got.Word
}
