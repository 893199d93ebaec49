package faultproxy

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// bindRetryInterval is the interval between attempts of Bind.
	bindRetryInterval = 10 * time.Millisecond
	// bindTimeout is the time after which Bind no longer retries.
	bindTimeout = 5 * time.Second
)

// Bind listens on a TCP address that may have been released a moment ago. It retries while the
// address is in use: when this process starts a child process, the child briefly holds copies of
// all sockets of this process, also of those that have been closed here.
func Bind(addr string) (net.Listener, error) {
	ticker := time.NewTicker(bindRetryInterval)
	defer ticker.Stop()
	for start := time.Now(); ; <-ticker.C {
		listener, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(start) > bindTimeout {
			return listener, err
		}
	}
}
