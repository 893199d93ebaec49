package soak

import (
	"fmt"
	"os"
	"strings"
)

const (
	// maxProcesses is the largest number of processes that a run may start.
	maxProcesses = 300
	// processMB is roughly the peak memory of one process, in MB.
	processMB = 40
)

// CheckCapacity returns an error if a plan needs more than maxProcesses processes, or if these need
// more than half of the memory of this machine. The memory is not checked if it is unknown.
func CheckCapacity(p Plan) error {
	size := p.size()
	processes := size.Replicas + size.Machines
	if processes > maxProcesses {
		return fmt.Errorf("plan needs %d processes, at most %d are allowed", processes, maxProcesses)
	}
	if total := memoryMB(); total > 0 && processes*processMB > total/2 {
		return fmt.Errorf("plan needs %d processes of about %d MB, over half of this machine's %d MB", processes, processMB, total)
	}
	return nil
}

// memoryMB returns the memory of this machine in MB, or zero if it is unknown.
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
