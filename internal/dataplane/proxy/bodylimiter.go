package proxy

import "sync/atomic"

// BodyLimiter bounds the bodies that a sidecar holds: each, and all of requests
// together. (DESIGN 10.5)
type BodyLimiter struct {
	// MaxBody bounds each body, of requests and answers.
	MaxBody int64
	// MaxTotal bounds those of the requests that are held at a time.
	MaxTotal int64
	reserved atomic.Int64
}

// Reserve makes room for a body, if there is room.
func (b *BodyLimiter) Reserve(n int64) bool {
	if b.reserved.Add(n) <= b.MaxTotal {
		return true
	}
	b.reserved.Add(-n)
	return false
}

// Release gives the room back.
func (b *BodyLimiter) Release(n int64) { b.reserved.Add(-n) }

// Reserved is how much is held now.
func (b *BodyLimiter) Reserved() int64 { return b.reserved.Load() }
