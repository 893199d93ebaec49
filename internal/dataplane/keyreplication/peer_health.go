package keyreplication

import (
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/membership"
)

// unresponsiveFor is how long a peer that did not answer counts as unresponsive, and comes
// after all others.
const unresponsiveFor = time.Second

// peerHealth remembers the peers that lately did not answer. It is safe for concurrent use.
type peerHealth struct {
	// unresponsive has the times until which peers count as unresponsive, by address. The
	// map is replaced, never changed.
	unresponsive atomic.Pointer[map[string]time.Time]
}

// responsive reports whether a peer does not count as unresponsive.
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

// markUnresponsive notes that a peer did not answer.
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

// responsivePeers returns the peers that don't count as unresponsive.
func (o *Owner) responsivePeers() []membership.Node {
	return slices.DeleteFunc(o.peers(), func(peer membership.Node) bool { return !o.health.responsive(peer.Addr) })
}
