//go:build proof

package storage

import (
	"os"
	"syscall"
	"time"
)

// trouble is what a file says about the disk, at each write: it takes nothing while the
// file says full, does not answer while it says stall, and is late while it says slow.
func trouble() func() error {
	path := os.Getenv("CURLEWWALK_PROOF_DISK")
	if path == "" {
		return nil
	}
	return func() error {
		state := func() string {
			b, _ := os.ReadFile(path)
			return string(b)
		}
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for state() == "stall" {
			<-tick.C
		}
		if state() == "slow" {
			time.Sleep(300 * time.Millisecond)
		}
		if state() == "full" {
			return syscall.ENOSPC
		}
		return nil
	}
}
