package soak

import (
	"fmt"
	"os"
	"strings"
)

const (
	// maxProcesses is how many processes a run may start.
	maxProcesses = 300
	// processMB is about the most memory that a process uses, in MB.
	processMB = 40
)

// CheckCapacity returns an error unless this machine can run a plan: the processes may use half of
// its memory.
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

// memoryMB is the memory of this machine in MB, or zero if it is not known.
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
