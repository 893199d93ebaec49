package retrybudget

import "time"

const (
	bucketWidth = time.Second
	// bucketCount makes the window a minute long.
	bucketCount = 60 // (ours)
)

// rollingWindow counts the requests of the latest bucketCount seconds, by second. Times are
// those of a monotonic clock of any origin.
type rollingWindow struct {
	// buckets has the bucket of second n at n modulo bucketCount.
	buckets [bucketCount]Counts
	// newest is the second of the newest bucket.
	newest int64
}

// advance moves the window on to now, and returns the bucket of now. The buckets that it
// passes are emptied.
func (w *rollingWindow) advance(now time.Duration) *Counts {
	second := int64(now / bucketWidth)
	for n := min(second-w.newest, bucketCount); n > 0; n-- {
		w.buckets[(second-n+1)%bucketCount] = Counts{}
	}
	w.newest = max(w.newest, second)
	return &w.buckets[w.newest%bucketCount]
}

// total moves the window on to now, and returns the sum of its buckets.
func (w *rollingWindow) total(now time.Duration) (total Counts) {
	w.advance(now)
	for _, bucket := range w.buckets {
		total = total.Add(bucket)
	}
	return total
}
