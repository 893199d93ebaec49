package consensus

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// hall is what the core on duty of three knows: all live, unless a test says else.
func hall(n int) (Acceptor, map[int]Place) {
	v := Acceptor{Phase: Established}
	places := map[int]Place{}
	for s := 1; s <= n; s++ {
		addr := string(rune('a' + s - 1))
		v.Founders = append(v.Founders, config.Member{Slot: s, ID: uint64(s), Addr: addr})
		places[s] = Place{Addr: addr, Live: true}
	}
	v.Self = From{Slot: 1, Inc: 1, ID: 1}
	return v, places
}

// watched is an usher that has looked at the same places for so long.
func watched(v Acceptor, places map[int]Place, span time.Duration) (Usher, time.Duration) {
	u := Usher{GoneFor: time.Second}
	now := time.Second
	for end := now + span; now < end; now += 500 * time.Millisecond {
		u = u.Look(v.Sets().Now, places, now)
	}
	return u.Look(v.Sets().Now, places, now), now
}

func dead(places map[int]Place, slots ...int) {
	for _, s := range slots {
		places[s] = Place{Addr: places[s].Addr}
	}
}

// Who asks comes beside all others while they live; instead of one that is gone; and
// instead of the one whose address it has, at once.
func TestUsherSeats(t *testing.T) {
	stranger, same := Asker{ID: 99, Addr: "z"}, Asker{ID: 99, Addr: "b"}
	for _, c := range []struct {
		name   string
		of     int
		dead   []int
		span   time.Duration
		asker  Asker
		out    int
		ok     bool
		top    int
		static int
	}{
		{"beside all", 3, nil, 3 * time.Second, stranger, 0, true, 0, 0},
		{"beside one", 1, nil, 3 * time.Second, stranger, 0, true, 0, 0},
		{"one is silent, not yet gone", 3, []int{2}, 400 * time.Millisecond, stranger, 0, false, 0, 0},
		{"instead of the gone one", 3, []int{2}, 3 * time.Second, stranger, 2, true, 0, 0},
		{"at the lost disk's address", 3, []int{2}, 0, same, 2, true, 0, 0},
		{"at the lost disk's address, that seems live", 3, nil, 0, same, 2, true, 0, 0},
		{"no majority lives", 3, []int{2, 3}, 3 * time.Second, stranger, 2, false, 0, 0},
		{"two of five are gone", 5, []int{2, 4}, 3 * time.Second, stranger, 2, true, 0, 0},
		{"two of four are gone", 4, []int{2, 4}, 3 * time.Second, stranger, 2, false, 0, 0},
		{"who has a seat", 3, nil, 3 * time.Second, Asker{ID: 3, Addr: "c"}, 0, false, 0, 0},
		{"a slot number is used once", 3, nil, 3 * time.Second, stranger, 0, true, 8, 0},
		{"static slots", 3, nil, 3 * time.Second, stranger, 0, false, 0, 3},
	} {
		v, places := hall(c.of)
		v.Word.Top, v.Founded = c.top, c.static
		dead(places, c.dead...)
		u, now := watched(v, places, c.span)
		o, ok := u.Seat(c.asker, v, places, now)
		if ok != c.ok || ok && (o.Out != c.out || o.Seat.Slot != max(c.of, c.top)+1 || o.Seat.ID != c.asker.ID || o.Seat.Addr != c.asker.Addr || len(o.Of) != c.of) {
			t.Errorf("%s: %+v %v", c.name, o, ok)
		}
	}
}

// An even set strikes one that is gone, an odd one only if two are; never without a
// majority, nor below three or the founders' number.
func TestUsherStrikes(t *testing.T) {
	for _, c := range []struct {
		of, founders int
		dead         []int
		span         time.Duration
		out          int
	}{
		{4, 3, []int{2}, 3 * time.Second, 2},
		{4, 3, []int{2}, 400 * time.Millisecond, 0},
		{4, 3, nil, 3 * time.Second, 0},
		{4, 4, []int{2}, 3 * time.Second, 0},
		{4, 3, []int{2, 3}, 3 * time.Second, 0},
		{3, 1, []int{2}, 3 * time.Second, 0},
		{2, 1, []int{2}, 3 * time.Second, 0},
		{5, 3, []int{2}, 3 * time.Second, 0},
		{5, 3, []int{2, 4}, 3 * time.Second, 4},
		{5, 3, []int{2, 3, 4}, 3 * time.Second, 0},
		{31, 3, []int{2, 3, 4}, 3 * time.Second, 4},
	} {
		v, places := hall(c.of)
		v.Word.Slots, v.Founders = v.Founders, v.Founders[:c.founders]
		dead(places, c.dead...)
		u, now := watched(v, places, c.span)
		if o, ok := u.Strike(v, now); ok != (c.out != 0) || o.Out != c.out {
			t.Errorf("%+v: %+v %v", c, o, ok)
		}
	}
}

// An usher that slept takes nobody for gone until it has looked on for long enough.
func TestUsherSlept(t *testing.T) {
	v, places := hall(4)
	v.Word.Slots, v.Founders = v.Founders, v.Founders[:3]
	dead(places, 2)
	u, now := watched(v, places, 500*time.Millisecond)
	now += 10 * time.Second
	if _, ok := u.Strike(v, now); ok {
		t.Error("struck by what it knew before it slept")
	}
	u = u.Look(v.Sets().Now, places, now)
	if _, ok := u.Strike(v, now); ok {
		t.Error("struck right after it woke")
	}
	now += time.Second
	u = u.Look(v.Sets().Now, places, now)
	if _, ok := u.Strike(v, now); !ok {
		t.Error("does not strike after it has looked on")
	}
}

// A member that stops leaves an even set, which bears no more losses than the odd one
// without it; an odd set, a founding one and the smallest stay as they are.
func TestLeave(t *testing.T) {
	for _, c := range []struct {
		of, founders, self int
		before             bool
		leaves             bool
	}{
		{of: 4, founders: 3, self: 1, leaves: true},
		{of: 4, founders: 3, self: 4, leaves: true},
		{of: 6, founders: 3, self: 2, leaves: true},
		{of: 3, founders: 3, self: 1},
		{of: 5, founders: 3, self: 1},
		{of: 4, founders: 4, self: 1},
		{of: 2, founders: 1, self: 1},
		{of: 4, founders: 3, self: 9}, // no member
		{of: 4, founders: 3, self: 1, before: true},
	} {
		v, _ := hall(c.of)
		v.Word.Slots, v.Founders = v.Founders, v.Founders[:c.founders]
		v.Self = From{Slot: c.self, Inc: 1, ID: uint64(c.self)}
		if c.before {
			v.Word.Formerly = v.Word.Slots[:3]
		}
		o, ok := Leave(v)
		if ok != c.leaves || ok && (o.Kind != Reseat || o.Out != c.self || o.Seat.Slot != 0 || len(o.Of) != c.of) {
			t.Errorf("%+v: %+v %v", c, o, ok)
		}
	}
	static := Acceptor{Founded: 3, Phase: Established, Self: From{Slot: 1, Inc: 1, ID: 1}}
	if _, ok := Leave(static); ok {
		t.Error("a static slot is left")
	}
}
