package consensus

import (
	"fmt"
	"slices"
	"testing"

	"curlewwalk/internal/config"
)

// asOf is an order on a zone that came while a stamp was the newest.
func asOf(kind OrderKind, zone string, since uint64) Order {
	return Order{Kind: kind, Zone: zone, Since: &since}
}

// An old copy of an order on a zone does not undo a newer one that was taken since
// the copy came, at whatever core and however late; a newer order is carried out.
func TestOldCopyOfAnEvacuation(t *testing.T) {
	b := newBench(t, 3)
	do := func(slot int, o Order, want Result) uint64 {
		t.Helper()
		id := b.give(slot, o)
		b.rest()
		return b.expect(id, want).Stamp
	}
	emptied := func(want ...string) {
		t.Helper()
		if got := b.newest().Emptied; !slices.Equal(got, want) {
			t.Errorf("emptied are %v, want %v", got, want)
		}
	}
	first := do(1, asOf(Empty, "west", 0), Taken)
	if again := do(2, asOf(Empty, "west", 0), Taken); again != first {
		t.Errorf("a copy was written once more, as %d", again)
	}
	emptied("west")
	back := do(2, asOf(TakeBack, "west", first), Taken)
	// The first core has not heard of the newer order: to it the copy is of the one that
	// was taken. The others have. It has no effect at any.
	do(1, asOf(Empty, "west", 0), Taken)
	do(2, asOf(Empty, "west", 0), Overtaken)
	do(3, asOf(Empty, "west", 0), Overtaken)
	emptied()
	do(1, asOf(Empty, "east", 0), Taken) // another zone's order is no newer one
	emptied("east")
	do(3, asOf(Empty, "west", back), Taken) // wanted anew
	emptied("east", "west")
	do(3, asOf(TakeBack, "west", first), Overtaken)
	emptied("east", "west")
	do(2, asOf(TakeBack, "east", b.newest().Stamp), Taken)
	emptied("west")
}

// An order whose proposal was lost, and that another core's newer one came in the way
// of, is not proposed again; if only others' words came, it is.
func TestEvacuationOvertakenWhileUnderWay(t *testing.T) {
	for _, by := range []string{"west", "east"} {
		b := newBench(t, 3)
		first := b.give(1, asOf(TakeBack, "west", 0))
		b.rest()
		b.expect(first, Taken)
		old := b.give(1, asOf(Empty, "west", 1))
		b.sent[1] = nil
		b.proposers[2].Follow(b.acceptors[1], b.now)
		newer := b.give(2, asOf(TakeBack, by, 1))
		for b.step(2) {
		}
		b.expect(newer, Taken)
		b.rest()
		if by == "west" {
			b.expect(old, Overtaken)
		} else {
			b.expect(old, Taken)
		}
		if got := len(b.newest().Emptied); got != map[string]int{"west": 0, "east": 1}[by] {
			t.Errorf("%s: %d are emptied", by, got)
		}
	}
}

// An order that is bound to a configuration that is not the newest is told so, whatever
// else was ordered on its zone.
func TestEvacuationBoundToAConfiguration(t *testing.T) {
	b := newBench(t, 3)
	newest, other := uint64(2), uint64(7)
	for _, step := range []struct {
		order Order
		match *uint64
		want  Result
	}{
		{asOf(Empty, "west", 0), nil, Taken},
		{Order{Kind: Put, Bytes: []byte("plain")}, nil, Taken},
		{asOf(Empty, "west", 0), &newest, Taken},
		{asOf(Empty, "west", 0), &other, Mismatch},
		{asOf(TakeBack, "west", 0), &other, Mismatch},
		{asOf(TakeBack, "west", 0), &newest, Overtaken},
	} {
		step.order.IfMatch = step.match
		id := b.give(1, step.order)
		b.rest()
		b.expect(id, step.want)
	}
}

// The record of orders on zones is bounded; a copy older than what was dropped from
// it is left without effect, and one that came since is carried out.
func TestEvacuationsAreBounded(t *testing.T) {
	w := config.Word{}
	for n := 1; n <= 3*config.EvacuationsMost; n++ {
		w = next(w, Order{Kind: Empty, Zone: fmt.Sprint("zone-", n)})
	}
	if len(w.Evacuations) != config.EvacuationsMost || w.Forgotten != 2*config.EvacuationsMost {
		t.Fatalf("%d on record, forgotten up to %d", len(w.Evacuations), w.Forgotten)
	}
	for since, want := range map[uint64]Result{w.Forgotten - 1: Overtaken, w.Forgotten: ""} {
		if got, _ := superseded(w, asOf(TakeBack, "zone-1", since)); got != want {
			t.Errorf("since %d: %q, want %q", since, got, want)
		}
	}
}

// What is on record of zones outlives a restart.
func TestEvacuationsOnDisk(t *testing.T) {
	w := next(config.Word{Stamp: 4, Forgotten: 2}, Order{Kind: Empty, Zone: "west"})
	got := loaded(t, w)
	if at, known := got.EvacuatedAt("west"); !known || at != 5 {
		t.Errorf("west at %d, %v", at, known)
	}
	if at, known := got.EvacuatedAt("east"); known || at != 2 {
		t.Errorf("east at %d, %v", at, known)
	}
}
