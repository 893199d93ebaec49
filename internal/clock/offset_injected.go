//go:build faultinjection

package clock

import (
	"os"
	"strings"
	"time"
)

// offsetVariable names the file with the offset.
const offsetVariable = "CURLEWWALK_FAULT_CLOCK"

// wallOffset is by how much a test has the wall clock jump: the duration that stands in a file,
// zero without one.
func wallOffset() time.Duration {
	b, err := os.ReadFile(os.Getenv(offsetVariable))
	if err != nil {
		return 0
	}
	d, _ := time.ParseDuration(strings.TrimSpace(string(b)))
	return d
}
