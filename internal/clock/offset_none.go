//go:build !faultinjection

package clock

import "time"

// wallOffset is zero: only builds for tests have their wall clock jump.
func wallOffset() time.Duration { return 0 }
