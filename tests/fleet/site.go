// Package fleet runs a whole fleet on one machine: each "machine" is its own
// 127.x.y.z address with its own processes. (DESIGN 14.1)
package fleet

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Site is a range of loopback addresses that this run has to itself.
type Site struct {
	octet int
	lock  net.Listener
}

const firstOctet, octets = 10, 240

// nextSite lets each run take the range after the one before it: what a run that has
// just ended had open may linger for a moment.
var nextSite atomic.Int64

// NewSite finds a range that no other run holds.
func NewSite() (*Site, error) {
	for range octets {
		octet := firstOctet + int(nextSite.Add(1)-1+int64(os.Getpid()))%octets
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:7399", octet))
		if err == nil {
			return &Site{octet: octet, lock: ln}, nil
		}
	}
	return nil, fmt.Errorf("no free range of loopback addresses")
}

// IP is the address of the nth machine.
func (s *Site) IP(n int) string { return fmt.Sprintf("127.%d.%d.%d", s.octet, n/200, n%200+1) }

// Close gives the range back.
func (s *Site) Close() { s.lock.Close() }
