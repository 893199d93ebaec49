package membership

import (
	"slices"
	"testing"
	"time"
)

func seat(slot int, addr string, held uint64, set ...int) Seat {
	return Seat{Slot: slot, Slots: len(set), Addr: addr, Inc: 1, Established: true, Settled: held, Held: held, Set: set}
}

// The newest set that any core told of is the one that counts; a struck slot's core
// is forgotten once it is silent, and its address is not heartbeated any more.
func TestSeatsFollowTheSet(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Seats
	for i, a := range []string{"a", "b", "c"} {
		s = s.Hear(seat(i+1, a, 1, 1, 2, 3), now)
	}
	if s.NoMajority(now) {
		t.Error("all live and no majority")
	}
	// 2 goes, 4 comes; only one core tells it, and tells of 4.
	now = now.Add(2 * time.Second)
	s = s.Hear(seat(1, "a", 3, 1, 3, 4), now).Hearsay([]Seat{seat(4, "d", 3, 1, 3, 4)}, now)
	s = s.Hear(seat(3, "c", 1, 1, 2, 3), now) // it has not heard yet
	if set, _, held := s.Set(); !slices.Equal(set, []int{1, 3, 4}) || held != 3 {
		t.Errorf("set %v of %d", set, held)
	}
	if _, ok := s.At(2); ok {
		t.Error("the struck slot's core lingers")
	}
	if got := s.Targets("a", []string{"x"}, now); !slices.Equal(got, []string{"c", "d", "x"}) {
		t.Errorf("heartbeats to %v", got)
	}
	s = s.Hear(seat(4, "d", 3, 1, 3, 4), now)
	if got := s.Targets("a", []string{"x"}, now); !slices.Equal(got, []string{"c", "d"}) {
		t.Errorf("heartbeats to %v though all slots live", got)
	}
	// Two of the set refuse: the third is no majority, whoever sat in 2.
	s = s.Refused("c", now.Add(time.Millisecond)).Refused("d", now.Add(time.Millisecond))
	if !s.NoMajority(now.Add(2 * time.Millisecond)) {
		t.Error("one of three is a majority")
	}
}

// While a change of the set may not have been settled, both sets must have lost their
// majority before a sidecar goes on alone.
func TestNoMajorityOfBothSets(t *testing.T) {
	now := time.Unix(1000, 0)
	c := seat(1, "a", 1, 1, 2, 3, 4)
	c.Held, c.Before = 2, []int{1, 2, 3}
	s := Seats{}.Hear(c, now).Hear(seat(2, "b", 1, 1, 2, 3), now).Hear(seat(3, "c", 1, 1, 2, 3), now).Hear(seat(4, "d", 1, 1, 2, 3), now)
	later := now.Add(time.Millisecond)
	s = s.Refused("d", later).Refused("c", later)
	if s.NoMajority(later) {
		t.Error("the set before has a majority still")
	}
	s = s.Refused("b", later)
	if !s.NoMajority(later) {
		t.Error("neither set has a majority")
	}
}

// An older version tells the number of slots only.
func TestSeatsOfOlderVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Seats{}.Hear(Seat{Slot: 2, Slots: 3, Addr: "b", Inc: 1}, now)
	if set, _, _ := s.Set(); !slices.Equal(set, []int{1, 2, 3}) {
		t.Errorf("set %v", set)
	}
}

// A word counts as settled past a stamp while a core that told so is live: of who can't be
// heard nothing follows.
func TestSettledPast(t *testing.T) {
	now := time.Now()
	s := Seats{}.Hear(Seat{Slot: 1, Addr: "a", Inc: 1, Settled: 7}, now).Hear(Seat{Slot: 2, Addr: "b", Inc: 1, Settled: 9}, now.Add(-time.Second))
	for _, c := range []struct {
		stamp uint64
		after time.Duration
		want  bool
	}{{6, 0, true}, {7, 0, true}, {9, 0, false}, {7, Silence - time.Second, false}, {6, Silence - time.Second, true}, {6, Silence, false}} {
		if got := s.SettledPast(c.stamp, now.Add(c.after)); got != c.want {
			t.Errorf("past %d after %v: %v", c.stamp, c.after, got)
		}
	}
}
