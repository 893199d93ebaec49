package proxy

import "sync/atomic"

// BodyLimiter bounds the memory for bodies on one side of the proxy. It is safe for concurrent
// use. (DESIGN 10.5)
type BodyLimiter struct {
	// MaxBody is the greatest size of a body, of a request or a response, in bytes.
	MaxBody int64
	// MaxTotal bounds the bodies of all requests that are open, in bytes.
	MaxTotal int64

	reserved atomic.Int64
}

// Reserve reserves n bytes, which must be released; false if there is no room for them.
func (b *BodyLimiter) Reserve(n int64) bool {
	if b.reserved.Add(n) <= b.MaxTotal {
		return true
	}
	b.reserved.Add(-n)
	return false
}

// Release gives reserved bytes back.
func (b *BodyLimiter) Release(n int64) { b.reserved.Add(-n) }

// Reserved returns how many bytes are reserved now.
func (b *BodyLimiter) Reserved() int64 { return b.reserved.Load() }
