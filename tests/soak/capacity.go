package soak

import (
	"fmt"
	"os"
	"strings"
)

const (
	// maxProcesses is how many processes a run may start.
	maxProcesses = 300
	// processMB is what a process takes at most, about.
	processMB = 40
)

// CheckCapacity reports whether this machine bears a plan: the processes' memory must be under half of
// the machine's.
func CheckCapacity(p Plan) error {
	size := p.size()
	processes := size.Replicas + size.Machines
	if processes > maxProcesses {
		return fmt.Errorf("%d processes: at most %d are started", processes, maxProcesses)
	}
	if total := memoryMB(); total > 0 && processes*processMB > total/2 {
		return fmt.Errorf("%d processes of about %d MB are over half of this machine's %d MB", processes, processMB, total)
	}
	return nil
}

// memoryMB is the machine's memory; zero if it can't be told.
func memoryMB() int {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "MemTotal: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}
