//go:build !faultinjection

package clock

import "time"

// wallOffset returns zero: the wall clock is shifted only in builds with the faultinjection tag.
func wallOffset() time.Duration { return 0 }
