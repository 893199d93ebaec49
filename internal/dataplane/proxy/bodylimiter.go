package proxy

import "sync/atomic"

// BodyLimiter limits the size of each body, and the memory for request bodies, on one side of the
// proxy. It is safe for concurrent use. (DESIGN 10.5)
type BodyLimiter struct {
	// MaxBody is the maximum size of a request or response body, in bytes.
	MaxBody int64
	// MaxTotal is the maximum total size of the request bodies of all open requests, in bytes.
	// Response bodies are not counted.
	MaxTotal int64

	reserved atomic.Int64
}

// Reserve reserves n bytes, which the caller must release. It returns false if fewer than n bytes
// are available.
func (b *BodyLimiter) Reserve(n int64) bool {
	if b.reserved.Add(n) <= b.MaxTotal {
		return true
	}
	b.reserved.Add(-n)
	return false
}

// Release releases n reserved bytes.
func (b *BodyLimiter) Release(n int64) { b.reserved.Add(-n) }

// Reserved returns the number of reserved bytes.
func (b *BodyLimiter) Reserved() int64 { return b.reserved.Load() }
