package membership

import (
	"slices"
	"time"
)

// Duty is the core that has the duty, as far as one core knows: the first in the order
// of slots that is live and able, among the members of a set. While none is able, it is
// the first live one; own, who asks, if there is none at all. (DESIGN 6.3)
func (s Seats) Duty(own Seat, set []int, now time.Time) Seat {
	live := slices.DeleteFunc(s.Live(now), func(c Seat) bool { return c.Slot == own.Slot })
	live = append(live, own)
	live = slices.DeleteFunc(live, func(c Seat) bool { return !c.Established || !slices.Contains(set, c.Slot) })
	if len(live) == 0 {
		return own
	}
	first := func(a, b Seat) int { return a.Slot - b.Slot }
	able := slices.DeleteFunc(slices.Clone(live), func(c Seat) bool { return c.Unable })
	if len(able) == 0 {
		return slices.MinFunc(live, first)
	}
	return slices.MinFunc(able, first)
}
