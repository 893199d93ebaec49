package fleet

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Site is a range of loopback addresses, 127.octet.0.0/16, that is reserved for one fleet.
type Site struct {
	octet int          // second octet of the addresses
	lock  net.Listener // marks the range as in use for all processes of the host
}

// The second octets of the ranges are firstOctet to firstOctet+octetCount-1.
const firstOctet, octetCount = 10, 240

// nextSite counts the ranges tried by this process. Each fleet starts at the range after that of the
// previous fleet, because sockets of a fleet that has just ended may stay open for a moment.
var nextSite atomic.Int64

// NewSite reserves an address range that no other fleet on this host uses.
func NewSite() (*Site, error) {
	for range octetCount {
		octet := firstOctet + int(nextSite.Add(1)-1+int64(os.Getpid()))%octetCount
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:7399", octet))
		if err == nil {
			return &Site{octet: octet, lock: ln}, nil
		}
	}
	return nil, fmt.Errorf("no free range of loopback addresses")
}

// IP returns the address of the nth machine.
func (s *Site) IP(n int) string { return fmt.Sprintf("127.%d.%d.%d", s.octet, n/200, n%200+1) }

// Close releases the address range.
func (s *Site) Close() { s.lock.Close() }
