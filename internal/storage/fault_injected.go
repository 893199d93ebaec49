//go:build faultinjection

package storage

import (
	"os"
	"syscall"
	"time"
)

// The variable that names the file with the fault, and the faults that the file may hold.
const (
	faultVariable = "CURLEWWALK_FAULT_DISK"
	faultFull     = "full"  // every write fails
	faultStall    = "stall" // a write waits until the file holds something else
	faultSlow     = "slow"  // a write takes slowWrite longer
)

const (
	stallPollInterval = 10 * time.Millisecond
	slowWrite         = 300 * time.Millisecond
)

// diskFault is called before each write; it has the fault that a file names at that moment.
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
			time.Sleep(slowWrite)
		}
		if current() == faultFull {
			return syscall.ENOSPC
		}
		return nil
	}
}
