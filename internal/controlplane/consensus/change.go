package consensus

import (
	"slices"

	"curlewwalk/internal/config"
)

// change makes the sets of the next word, as an order asks for; what it does not
// change stays. Only one slot comes or goes at a time, or one comes for another.
// (DESIGN 6.5)
func change(next config.Word, now []config.Member, o Order) config.Word {
	next.Formerly = nil
	if o.Kind != Reseat {
		return next
	}
	next.Formerly = now
	next.Slots = slices.DeleteFunc(slices.Clone(now), func(m config.Member) bool { return m.Slot == o.Out })
	if o.Seat.Slot != 0 {
		next.Slots = union(next.Slots, []config.Member{o.Seat})
	}
	next.Top = max(next.Top, now[len(now)-1].Slot, o.Seat.Slot)
	return next
}

// sealed is a word that changes the set, without the set before: no majority of
// that one is needed any more once it holds the change.
func sealed(w config.Word) config.Word {
	w.Stamp++
	w.Formerly = nil
	return w
}

// judgeReseat ends an order for a change of the set that is done already, or that
// was decided on another set than the one in force.
func judgeReseat(held config.Word, now []config.Member, o Order) (Answer, bool) {
	if o.Kind != Reseat {
		return Answer{}, false
	}
	ans := Answer{ID: o.ID, Result: Taken, Word: held}
	out := !slices.Contains(Slots(now), o.Out)
	in := o.Seat.Slot == 0 || slices.ContainsFunc(now, func(m config.Member) bool { return same(m, o.Seat) })
	switch {
	case out && in:
		return ans, true
	case !slices.EqualFunc(now, o.Of, same), o.Seat.Slot != 0 && o.Seat.Slot <= max(held.Top, now[len(now)-1].Slot), len(now) == 1 && o.Seat.Slot == 0:
		ans.Result = NotTaken
		return ans, true
	}
	return ans, false
}
