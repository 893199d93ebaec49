// Package clock is the only package that reads the wall clock. All other code measures durations on
// the monotonic clock, which does not jump when the system time is corrected. (DESIGN 17.2)
package clock

import "time"

// Wall returns the time of the wall clock, without a monotonic clock reading. The difference of two
// such times therefore includes jumps of the wall clock.
func Wall() time.Time { return time.Now().Round(0).Add(wallOffset()) }
