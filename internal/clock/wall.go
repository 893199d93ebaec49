// Package clock is the one place where the wall clock is read. All else counts
// durations on the monotonic clock. (DESIGN 17.2)
package clock

import "time"

// Wall is the wall clock's time.
func Wall() time.Time { return time.Now().Round(0).Add(jumped()) }
