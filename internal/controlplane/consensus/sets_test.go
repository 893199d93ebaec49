package consensus

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

func set(slots ...int) (out []config.Member) {
	for _, s := range slots {
		out = append(out, config.Member{Slot: s, ID: uint64(100 + s)})
	}
	return out
}

// said are votes from slots that hold a word under a mark with its sets.
func said(votes map[int]Vote, m Mark, sets Sets, slots ...int) map[int]Vote {
	for _, s := range slots {
		votes[s] = Vote{From: From{Slot: s, Inc: 1, ID: uint64(100 + s)}, Phase: Established, Mark: m, Sets: sets}
	}
	return votes
}

// Votes are complete once they are majorities of both sets of the highest word among
// them, whatever set was asked.
func TestComplete(t *testing.T) {
	old, grown := Sets{Now: set(1, 2, 3)}, Sets{Now: set(1, 2, 3, 4), Before: set(1, 2, 3)}
	moved := Sets{Now: set(3, 4, 5), Before: set(3, 4, 2)}
	low, high := Mark{1, 1}, Mark{1, 2}
	for _, c := range []struct {
		name  string
		votes map[int]Vote
		want  bool
	}{
		{"a majority of the old", said(map[int]Vote{}, low, old, 1, 2), true},
		{"a minority", said(map[int]Vote{}, low, old, 1), false},
		{"one tells of the grown set", said(said(map[int]Vote{}, low, old, 1), high, grown, 2), false},
		{"majorities of both", said(said(map[int]Vote{}, low, old, 1), high, grown, 2, 4), true},
		{"of the new only", said(map[int]Vote{}, high, moved, 4, 5), false},
		{"of both moved", said(map[int]Vote{}, high, moved, 3, 4), true},
		{"none", map[int]Vote{}, false},
	} {
		if got := Complete(Counted(c.votes), old); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	// Another disk in a member's slot is no member.
	v := said(map[int]Vote{}, low, old, 1, 2)
	o := v[2]
	o.From.ID = 7
	v[2] = o
	if Complete(v, old) {
		t.Error("a stranger was counted")
	}
}

// Only one change stands at a time, decided on the set in force, and no slot number
// comes again.
func TestChange(t *testing.T) {
	now := set(1, 2, 3)
	come := Order{Kind: Reseat, Seat: config.Member{Slot: 4, ID: 104}, Of: now}
	w := change(config.Word{Stamp: 1}, now, come)
	if len(w.Slots) != 4 || len(w.Formerly) != 3 || w.Top != 4 {
		t.Errorf("%+v", w)
	}
	swap := Order{Kind: Reseat, Seat: config.Member{Slot: 5, ID: 105}, Out: 2, Of: w.Slots}
	x := change(sealed(w), w.Slots, swap)
	if s := Slots(x.Slots); len(s) != 4 || s[1] != 3 || s[3] != 5 || len(x.Formerly) != 4 || x.Top != 5 {
		t.Errorf("%+v", x)
	}
	if y := change(x, x.Slots, Order{Kind: Put}); len(y.Formerly) != 0 || len(y.Slots) != 4 {
		t.Errorf("%+v", y)
	}
	for _, c := range []struct {
		name string
		held config.Word
		now  []config.Member
		o    Order
		want Result
	}{
		{"to be done", config.Word{}, now, come, ""},
		{"done", w, w.Slots, come, Taken},
		{"decided on another set", x, x.Slots, swapOf(come, now, 6), NotTaken},
		{"a slot used before", config.Word{Slots: now, Top: 4}, now, come, NotTaken},
		{"the last one", config.Word{}, set(1), Order{Kind: Reseat, Out: 1, Of: set(1)}, NotTaken},
		{"another order", config.Word{}, now, Order{Kind: Put}, ""},
	} {
		ans, done := judgeReseat(c.held, c.now, c.o)
		if done != (c.want != "") || done && ans.Result != c.want {
			t.Errorf("%s: %v %v", c.name, ans.Result, done)
		}
	}
}

func swapOf(o Order, of []config.Member, slot int) Order {
	o.Of, o.Seat.Slot, o.Seat.ID = of, slot, uint64(100+slot)
	return o
}

// No two slots ever get one epoch, whatever each has heard of.
func TestEpochs(t *testing.T) {
	for _, founded := range []int{0, 3} {
		seen := map[uint64]int{}
		for slot := 1; slot <= 3; slot++ {
			known := uint64(0)
			for range 100 {
				known = epochAfter(known, slot, founded)
				if s, ok := seen[known]; ok {
					t.Fatalf("slots %d and %d both have %d", s, slot, known)
				}
				seen[known] = slot
			}
		}
	}
}

// An empty disk is a founder at the first start only, and what the disk says wins over
// later settings. Without a seat it votes, and has its seat by the word that names it.
func TestStart(t *testing.T) {
	founders := []string{"a", "b", "c"}
	open := func() Disk {
		v, err := storage.Open(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		return Disk{Vault: v}
	}
	load := func(d *Disk, s Start) Acceptor {
		v, err := d.Load(s)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	d := open()
	b := load(&d, Start{First: true, Founders: founders, Addr: "b"})
	if b.Phase != Established || b.Self.Slot != 2 || !b.Member() || len(b.Sets().Now) != 3 {
		t.Errorf("the founder: %+v", b)
	}
	again := load(&d, Start{First: true, Founders: []string{"x"}, Addr: "x"})
	if again.Self != b.Self || len(again.Sets().Now) != 3 || !again.Member() {
		t.Errorf("the founder, started again: %+v", again)
	}
	for _, s := range []Start{{Founders: founders, Addr: "b"}, {First: true, Founders: founders, Addr: "z"}, {}} {
		d := open()
		if v := load(&d, s); v.Phase != Seeking || v.Self.Slot != 0 || v.Member() {
			t.Errorf("%+v: %+v", s, v)
		}
	}
	d = open()
	v := load(&d, Start{})
	w := config.Word{Stamp: 1, Slots: []config.Member{{Slot: 1, ID: 7}, {Slot: 4, ID: v.Self.ID}}, Formerly: []config.Member{{Slot: 1, ID: 7}}, Top: 4}
	m := Mark{Epoch: stride + 1, Stamp: 1}
	v, vote := v.On(Ballot{Act: Propose, Epoch: m.Epoch, Mark: m, Word: w})
	if !vote.OK || vote.From.Slot != 4 || v.Phase != Seeking {
		t.Errorf("asked to be in: %+v", vote)
	}
	if err := d.Save(v); err != nil {
		t.Fatal(err)
	}
	v = load(&d, Start{})
	v, _ = v.On(Ballot{Act: Settle, Epoch: m.Epoch, Mark: m, Word: w})
	if v.Phase != Established || !v.Member() || v.Struck() {
		t.Errorf("settled: %+v", v)
	}
	x := w
	x.Stamp, x.Slots, x.Formerly = 2, w.Slots[:1], w.Slots
	v, _ = v.On(Ballot{Act: Settle, Epoch: m.Epoch, Mark: Mark{m.Epoch, 2}, Word: x})
	if v.Struck() || v.Member() {
		t.Errorf("goes before the change is sealed: %+v", v)
	}
	v, _ = v.On(Ballot{Act: Settle, Epoch: m.Epoch, Mark: Mark{m.Epoch, 3}, Word: sealed(x)})
	if !v.Struck() {
		t.Errorf("struck: %+v", v)
	}
	if f := v.Afresh(99); f.Phase != Seeking || f.Self.Slot != 0 || f.Mark != v.Mark {
		t.Errorf("afresh: %+v", f)
	}
}
