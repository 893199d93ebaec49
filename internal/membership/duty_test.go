package membership

import (
	"testing"
	"time"
)

// The duty goes to the first core in order that is live and able; to the first live one
// while none is able; and to no core that is not in the set.
func TestDuty(t *testing.T) {
	now := time.Now()
	set := []int{1, 2, 3}
	core := func(slot int, unable bool) Seat {
		return Seat{Slot: slot, Slots: 3, Set: set, Addr: string(rune('a' + slot)), Inc: 1, Established: true, Unable: unable}
	}
	for name, c := range map[string]struct {
		own   Seat
		heard []Seat
		want  int
	}{
		"all able":                     {core(2, false), []Seat{core(1, false), core(3, false)}, 1},
		"first unable":                 {core(2, false), []Seat{core(1, true), core(3, false)}, 2},
		"first unable, seen by itself": {core(1, true), []Seat{core(2, false), core(3, false)}, 2},
		"two unable":                   {core(1, true), []Seat{core(2, true), core(3, false)}, 3},
		"none able":                    {core(2, true), []Seat{core(1, true), core(3, true)}, 1},
		"alone and unable":             {core(2, true), nil, 2},
		"no member":                    {core(4, false), []Seat{core(3, true), core(2, true)}, 2},
		"only others that are none":    {core(4, false), []Seat{core(5, false)}, 4},
	} {
		var s Seats
		for _, h := range c.heard {
			s = s.Hear(h, now)
		}
		if got := s.Duty(c.own, set, now); got.Slot != c.want {
			t.Errorf("%s: %d has the duty, not %d", name, got.Slot, c.want)
		}
		if got := s.Duty(c.own, set, now.Add(Silence)); got.Slot != c.own.Slot {
			t.Errorf("%s: %d has the duty when none is live", name, got.Slot)
		}
	}
}

// A core that becomes unable is told anew: the mark of its seat tells of it.
func TestUnableIsTold(t *testing.T) {
	c := Seat{Slot: 1, Addr: "a", Inc: 1, Established: true}
	able := c.Marked()
	c.Unable = true
	if able.Mark == c.Marked().Mark {
		t.Error("the mark is the same")
	}
}
