//go:build faultinjection

package storage

import (
	"os"
	"syscall"
	"time"
)

// faultVariable is the environment variable that holds the path of the fault file. The content
// of the fault file selects one of the faults.
const (
	faultVariable = "CURLEWWALK_FAULT_DISK"
	faultFull     = "full"  // every write fails with ENOSPC
	faultStall    = "stall" // a write blocks until the content of the fault file changes
	faultSlow     = "slow"  // a write takes slowWriteDelay longer
)

const (
	stallPollInterval = 10 * time.Millisecond
	slowWriteDelay    = 300 * time.Millisecond
)

// diskFault returns a function to call before each write. The function injects the fault that
// the fault file selects at the time of the call. diskFault returns nil if no fault file is set.
func diskFault() func() error {
	path := os.Getenv(faultVariable)
	if path == "" {
		return nil
	}
	current := func() string {
		b, _ := os.ReadFile(path)
		return string(b)
	}
	return func() error {
		tick := time.NewTicker(stallPollInterval)
		defer tick.Stop()
		for current() == faultStall {
			<-tick.C
		}
		if current() == faultSlow {
			time.Sleep(slowWriteDelay)
		}
		if current() == faultFull {
			return syscall.ENOSPC
		}
		return nil
	}
}
