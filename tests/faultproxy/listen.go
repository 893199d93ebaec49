package faultproxy

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// bindRetryInterval is how often Bind tries again.
	bindRetryInterval = 10 * time.Millisecond
	// bindTimeout is for how long Bind tries.
	bindTimeout = 5 * time.Second
)

// Bind listens on an address that may have been released just now. A process that is being
// started by this one holds copies of all its sockets for a moment, so Bind retries while the
// address is in use.
func Bind(addr string) (net.Listener, error) {
	tick := time.NewTicker(bindRetryInterval)
	defer tick.Stop()
	for begin := time.Now(); ; <-tick.C {
		listener, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(begin) > bindTimeout {
			return listener, err
		}
	}
}
