//go:build faultinjection

package clock

import (
	"os"
	"strings"
	"time"
)

// offsetVariable is the environment variable that holds the path of the offset file.
const offsetVariable = "CURLEWWALK_FAULT_CLOCK"

// wallOffset returns the offset by which a test shifts the wall clock: the duration in the offset
// file, or zero if there is no such file or its content is not a duration.
func wallOffset() time.Duration {
	b, err := os.ReadFile(os.Getenv(offsetVariable))
	if err != nil {
		return 0
	}
	d, _ := time.ParseDuration(strings.TrimSpace(string(b)))
	return d
}
