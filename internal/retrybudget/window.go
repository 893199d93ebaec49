package retrybudget

import "time"

const (
	slice  = time.Second
	slices = 60 // the window is a minute (ours)
)

// window is a rolling tally in slices.
type window struct {
	tallies [slices]Tally
	at      int64 // number of the newest slice
}

// turn moves the window on to now; slices that have gone by are empty.
func (w *window) turn(now time.Duration) *Tally {
	at := int64(now / slice)
	for n := min(at-w.at, slices); n > 0; n-- {
		w.tallies[(at-n+1)%slices] = Tally{}
	}
	w.at = max(w.at, at)
	return &w.tallies[w.at%slices]
}

func (w *window) sum(now time.Duration) (t Tally) {
	w.turn(now)
	for _, s := range w.tallies {
		t = t.Plus(s)
	}
	return t
}
