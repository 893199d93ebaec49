package consensus

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

// bench is proposers and acceptors without a wire.
type bench struct {
	t         *testing.T
	now       time.Duration
	acceptors []Acceptor
	proposers map[int]*Proposer
	answers   map[uint64]Answer
	seq       uint64
	// sent are the ballots of each proposer that are on their way.
	sent map[int][]Outcome
	// proposed counts the words that were proposed.
	proposed int
}

func newBench(t *testing.T, slots int) *bench {
	b := &bench{t: t, proposers: map[int]*Proposer{}, answers: map[uint64]Answer{}, sent: map[int][]Outcome{}}
	chairs := map[int]Chair{}
	for s := 1; s <= slots; s++ {
		chairs[s] = Chair{Inc: 1, ID: uint64(s)}
	}
	for s := 1; s <= slots; s++ {
		self := From{Slot: s, Inc: 1, ID: uint64(s)}
		b.acceptors = append(b.acceptors, Acceptor{Self: self, Founded: slots, Phase: Established, Seats: chairs})
		b.proposers[s] = &Proposer{}
		b.proposers[s].Follow(b.acceptors[s-1], 0)
	}
	return b
}

// give hands a proposer an order.
func (b *bench) give(slot int, o Order) uint64 {
	b.seq++
	o.ID, o.Until = b.seq, b.now+3*time.Second
	b.obey(slot, b.proposers[slot].Take(o, b.now))
	return o.ID
}

func (b *bench) obey(slot int, outs []Outcome) {
	for _, o := range outs {
		if o.Answer != nil {
			b.answers[o.Answer.ID] = *o.Answer
		}
		if o.Ballot != nil {
			b.sent[slot] = append(b.sent[slot], o)
			if o.Ballot.Act == Propose {
				b.proposed++
			}
		}
	}
}

// step lets a proposer's ballots so far come to the acceptors, and their votes back;
// false if there were none.
func (b *bench) step(slot int) bool {
	sent := b.sent[slot]
	b.sent[slot] = nil
	for _, o := range sent {
		for _, m := range o.To {
			s := m.Slot
			next, vote := b.acceptors[s-1].On(*o.Ballot)
			b.acceptors[s-1] = next
			b.obey(slot, b.proposers[slot].Hear(vote, b.now))
		}
	}
	return len(sent) > 0
}

// rest lets all that is on its way come, and a second pass.
func (b *bench) rest() {
	for range 10 {
		for slot := range b.proposers {
			for b.step(slot) {
			}
		}
		b.now += 100 * time.Millisecond
		for slot, c := range b.proposers {
			c.Follow(b.acceptors[slot-1], b.now)
			b.obey(slot, c.Tick(b.now))
		}
	}
}

// newest is the word that a majority holds.
func (b *bench) newest() config.Word {
	votes := map[int]Vote{}
	for i := range b.acceptors {
		_, votes[i+1] = b.acceptors[i].On(Ballot{Act: Read})
	}
	top, held := Newest(votes, b.acceptors[0].Sets())
	if !held {
		b.t.Fatal("no majority holds the newest word")
	}
	return top.Word
}

func (b *bench) has(id uint64) bool {
	_, ok := b.answers[id]
	return ok
}

func (b *bench) expect(id uint64, want Result) config.Word {
	b.t.Helper()
	a, ok := b.answers[id]
	if !ok || a.Result != want {
		b.t.Errorf("order %d: %q, want %q", id, a.Result, want)
	}
	return a.Word
}

func generation(n uint64, text string) Order {
	return Order{Kind: Put, Generation: n, Bytes: []byte(text), Sent: []byte("sent " + text)}
}

// A generation is taken once; one that is no higher changes nothing; one without a
// number keeps the number and clears what was sent.
func TestGenerations(t *testing.T) {
	b := newBench(t, 3)
	put := func(slot int, o Order) config.Word {
		t.Helper()
		id := b.give(slot, o)
		b.rest()
		return b.expect(id, Taken)
	}
	w := put(1, generation(5, "five"))
	if w.Generation != 5 || string(w.Desired) != "five" || string(w.Sent) != "sent five" || w.DesiredStamp != w.Stamp {
		t.Errorf("%+v", w)
	}
	for n, text := range map[uint64]string{5: "five", 4: "other", 1: "other"} {
		if again := put(1, generation(n, text)); again.Stamp != w.Stamp || string(again.Desired) != "five" {
			t.Errorf("edition %d after 5: %+v", n, again)
		}
	}
	other := b.give(1, generation(5, "other"))
	b.rest()
	b.expect(other, Conflict)
	stamp := w.DesiredStamp + 7
	o := generation(5, "five")
	o.IfMatch = &stamp
	put(2, o) // repeated at another core, whatever it is bound to
	o = generation(6, "six")
	o.IfMatch = &stamp
	id := b.give(2, o)
	b.rest()
	b.expect(id, Mismatch)
	put(2, Order{Kind: Empty, Zone: "west"})
	if w = b.newest(); w.Generation != 5 || string(w.Sent) != "sent five" {
		t.Errorf("after another order: %+v", w)
	}
	put(3, Order{Kind: Put, Bytes: []byte("plain"), Sent: []byte("no")})
	if w = b.newest(); w.Generation != 5 || w.Sent != nil || string(w.Desired) != "plain" {
		t.Errorf("after one without a number: %+v", w)
	}
	put(1, generation(5, "five"))
	if w = b.newest(); string(w.Desired) != "plain" {
		t.Errorf("an old edition came back: %+v", w)
	}
	put(1, generation(6, "six"))
	if w = b.newest(); w.Generation != 6 || string(w.Desired) != "six" {
		t.Errorf("%+v", w)
	}
}

// Two proposers race: whichever way their ballots fall among each other, both
// generations are acknowledged, and the higher one is held.
func TestGenerationsRace(t *testing.T) {
	for steps := range 64 {
		b := newBench(t, 3)
		low, high := b.give(1, generation(1, "low")), b.give(2, generation(2, "high"))
		for bit := range 6 {
			b.step(1 + steps>>bit&1)
		}
		for range 4 {
			b.rest()
		}
		b.expect(low, Taken)
		b.expect(high, Taken)
		if w := b.newest(); w.Generation != 2 || string(w.Desired) != "high" {
			t.Errorf("steps %b: %+v", steps, w)
		}
	}
}

// A generation whose ballots were lost, and that another proposer's word came in the
// way of, is proposed again and not left in doubt.
func TestGenerationOvertaken(t *testing.T) {
	b := newBench(t, 3)
	first := b.give(1, Order{Kind: Empty, Zone: "west"})
	b.rest()
	b.expect(first, Taken)
	overtaken := b.give(1, generation(1, "one"))
	b.sent[1] = nil
	b.proposers[2].Follow(b.acceptors[1], b.now)
	other := b.give(2, Order{Kind: Empty, Zone: "east"})
	for b.step(2) {
	}
	b.expect(other, Taken)
	if w := b.newest(); w.Generation != 0 || w.Stamp != 2 {
		t.Errorf("%+v", w)
	}
	b.rest()
	b.expect(overtaken, Taken)
	if w := b.newest(); w.Generation != 1 || len(w.Emptied) != 2 {
		t.Errorf("%+v", w)
	}
}

// Of generations that pile up while one is being written, the highest only is
// written; all are acknowledged, the others once that is settled.
func TestGenerationsPileUp(t *testing.T) {
	b := newBench(t, 3)
	first := b.give(1, generation(1, "1"))
	for b.step(1) && b.proposed == 0 {
	}
	var ids []uint64
	for _, n := range []uint64{3, 2, 30, 4, 29} { // while the first is proposed
		ids = append(ids, b.give(1, generation(n, "later")))
	}
	empty := b.give(1, Order{Kind: Empty, Zone: "west"})
	stamp := uint64(1)
	bound := generation(31, "bound")
	bound.IfMatch = &stamp
	mismatch := b.give(1, bound)
	for !b.has(ids[2]) && b.step(1) {
	}
	b.expect(first, Taken)
	if w := b.expect(ids[2], Taken); w.Generation != 30 || w.Stamp != 2 {
		t.Errorf("%+v", w)
	}
	b.rest()
	for _, id := range append(ids, empty) {
		b.expect(id, Taken)
	}
	b.expect(mismatch, Mismatch)
	if w := b.newest(); w.Generation != 30 || w.Stamp != 3 || b.proposed != 3 {
		t.Errorf("%d words were proposed, %+v", b.proposed, w)
	}
}

// A generation that waits for a higher one is not acknowledged if that is not
// settled in time: it was never proposed, so it surely was not taken.
func TestGenerationsUnsettled(t *testing.T) {
	b := newBench(t, 3)
	first := b.give(1, generation(1, "1"))
	for b.step(1) && b.proposed == 0 {
	}
	low := b.give(1, generation(2, "2"))
	b.now += time.Second
	high := b.give(1, generation(3, "3"))
	for !b.has(first) {
		b.step(1)
	}
	b.sent[1] = nil // the ballots for 3 are lost, and all that come after
	for range 40 {
		b.now += 50 * time.Millisecond
		b.obey(1, b.proposers[1].Tick(b.now))
		b.sent[1] = nil
		if b.has(low) && !b.has(high) {
			b.expect(low, NotTaken)
		}
	}
	b.rest()
	b.rest()
	b.expect(low, NotTaken)
	if !b.has(high) {
		t.Error("the higher one has no answer")
	}
}

// A word's generation, and what was sent, are read back from disk; a file from
// before there were generations is read.
func TestGenerationOnDisk(t *testing.T) {
	v, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	d := Disk{Vault: v}
	acceptor, err := d.Load(Start{Slot: 1, Slots: 1})
	if err != nil {
		t.Fatal(err)
	}
	acceptor.Phase, acceptor.Self.Inc = Established, 1
	acceptor.Mark = Mark{Epoch: 2, Stamp: 3}
	acceptor.Word = config.Word{Stamp: 3, DesiredStamp: 3, Generation: 9, Desired: []byte("{\n}\n"), Sent: []byte("a\n\x00b")}
	acceptor.OathDirty, acceptor.WordDirty = true, true
	if err := d.Save(acceptor); err != nil {
		t.Fatal(err)
	}
	got, err := (&Disk{Vault: v}).Load(Start{Slot: 1, Slots: 1})
	if diff := cmp.Diff(acceptor.Word, got.Word, cmpopts.EquateEmpty()); diff != "" || err != nil {
		t.Error(diff, err)
	}
	old := "{\"epoch\":4,\"stamp\":4,\"desired_stamp\":4,\"emptied\":[\"west\"]}\n{}"
	if err := v.Save(kindWord, "00000000000000000004.00000000000000000004", []byte(old)); err != nil {
		t.Fatal(err)
	}
	if got, err = (&Disk{Vault: v}).Load(Start{Slot: 1, Slots: 1}); err != nil || got.Word.Generation != 0 || string(got.Word.Desired) != "{}" || got.Word.DesiredStamp != 4 {
		t.Errorf("%+v %v", got.Word, err)
	}
}
