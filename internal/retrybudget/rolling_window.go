package retrybudget

import "time"

const (
	bucketWidth = time.Second
	// bucketCount makes the window one minute long.
	bucketCount = 60
)

// rollingWindow counts the requests of the latest bucketCount seconds in one bucket per second.
// Times are readings of a monotonic clock of any origin.
type rollingWindow struct {
	// buckets holds the bucket of second n at index n modulo bucketCount.
	buckets [bucketCount]Counts
	// newest is the second of the newest bucket.
	newest int64
}

// advance moves the window forward to now, clears the buckets that it passes, and returns the
// newest bucket.
func (w *rollingWindow) advance(now time.Duration) *Counts {
	second := int64(now / bucketWidth)
	for n := min(second-w.newest, bucketCount); n > 0; n-- {
		w.buckets[(second-n+1)%bucketCount] = Counts{}
	}
	w.newest = max(w.newest, second)
	return &w.buckets[w.newest%bucketCount]
}

// total moves the window forward to now, and returns the sum of its buckets.
func (w *rollingWindow) total(now time.Duration) (total Counts) {
	w.advance(now)
	for _, bucket := range w.buckets {
		total = total.Add(bucket)
	}
	return total
}
