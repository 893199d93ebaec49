// Package clock is the one place where the wall clock is read. All other code counts durations
// on the monotonic clock, which no correction of the time can make jump. (DESIGN 17.2)
package clock

import "time"

// Wall is the time of the wall clock. It has no reading of the monotonic clock, so differences
// of two such times jump with it.
func Wall() time.Time { return time.Now().Round(0).Add(wallOffset()) }
