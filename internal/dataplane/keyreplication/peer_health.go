package keyreplication

import (
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/membership"
)

// unresponsiveFor is how long a peer that did not answer is considered unresponsive and
// ranked after all other peers.
const unresponsiveFor = time.Second

// peerHealth tracks the peers that recently failed to answer. It is safe for concurrent use.
type peerHealth struct {
	// unresponsive maps the address of each unresponsive peer to the time until which the
	// peer is considered unresponsive. The map is immutable and is replaced as a whole.
	unresponsive atomic.Pointer[map[string]time.Time]
}

// responsive reports whether a peer is not considered unresponsive.
func (h *peerHealth) responsive(addr string) bool {
	unresponsive := h.unresponsive.Load()
	return unresponsive == nil || !time.Now().Before((*unresponsive)[addr])
}

// compare orders responsive peers before unresponsive ones.
func (h *peerHealth) compare(a, b membership.Node) int {
	return h.rank(a) - h.rank(b)
}

func (h *peerHealth) rank(peer membership.Node) int {
	if h.responsive(peer.Addr) {
		return 0
	}
	return 1
}

// markUnresponsive records that a peer did not answer.
func (h *peerHealth) markUnresponsive(addr string) {
	for {
		old := h.unresponsive.Load()
		next := map[string]time.Time{addr: time.Now().Add(unresponsiveFor)}
		if old != nil {
			for other, until := range *old {
				if _, ok := next[other]; !ok && time.Now().Before(until) {
					next[other] = until
				}
			}
		}
		if h.unresponsive.CompareAndSwap(old, &next) {
			return
		}
	}
}

// responsivePeers returns the peers that are not considered unresponsive.
func (o *Owner) responsivePeers() []membership.Node {
	return slices.DeleteFunc(o.peers(), func(peer membership.Node) bool { return !o.health.responsive(peer.Addr) })
}
