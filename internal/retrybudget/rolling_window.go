package retrybudget

import "time"

const (
	bucketWidth = time.Second
	bucketCount = 60 // the window is a minute (ours)
)

// rollingWindow is a rolling tally in slices.
type rollingWindow struct {
	buckets [bucketCount]Counts
	newest  int64 // number of the newest slice
}

// advance moves the window on to now; slices that have gone by are empty.
func (w *rollingWindow) advance(now time.Duration) *Counts {
	at := int64(now / bucketWidth)
	for n := min(at-w.newest, bucketCount); n > 0; n-- {
		w.buckets[(at-n+1)%bucketCount] = Counts{}
	}
	w.newest = max(w.newest, at)
	return &w.buckets[w.newest%bucketCount]
}

func (w *rollingWindow) total(now time.Duration) (t Counts) {
	w.advance(now)
	for _, s := range w.buckets {
		t = t.Add(s)
	}
	return t
}
