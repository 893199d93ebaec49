package fleet

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Site is a range of loopback addresses that one fleet has to itself.
type Site struct {
	octet int
	lock  net.Listener
}

const firstOctet, octets = 10, 240

// nextSite lets each fleet of this process use the range after the one before it: sockets of a
// fleet that has just ended may linger for a moment.
var nextSite atomic.Int64

// NewSite reserves a range that no other fleet uses.
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

// Close releases the range.
func (s *Site) Close() { s.lock.Close() }
