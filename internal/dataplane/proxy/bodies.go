package proxy

import "sync/atomic"

// Bodies bounds the bodies that a sidecar holds: each, and all of requests
// together. (DESIGN 10.5)
type Bodies struct {
	// Most bounds each body, of requests and answers.
	Most int64
	// All bounds those of the requests that are held at a time.
	All  int64
	held atomic.Int64
}

// Take makes room for a body, if there is room.
func (b *Bodies) Take(n int64) bool {
	if b.held.Add(n) <= b.All {
		return true
	}
	b.held.Add(-n)
	return false
}

// Give gives the room back.
func (b *Bodies) Give(n int64) { b.held.Add(-n) }

// Held is how much is held now.
func (b *Bodies) Held() int64 { return b.held.Load() }
