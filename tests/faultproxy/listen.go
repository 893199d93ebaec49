package faultproxy

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Bind listens on an address that may have been given up just now: a program that
// this process is starting holds copies of all sockets for a moment.
func Bind(addr string) (net.Listener, error) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for begin := time.Now(); ; <-tick.C {
		ln, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(begin) > 5*time.Second {
			return ln, err
		}
	}
}
