package fakes

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
)

// Headers with which the fakes verify that requests and answers arrive unchanged.
const (
	headerID       = "X-Proof-Id"
	headerDigest   = "X-Proof-Digest"
	headerExtra    = "X-Proof-Extra"
	headerInstance = "X-Proof-Instance"
)

// Headers defined by the system under test.
const (
	headerOutcome        = "Curlewwalk-Outcome"
	headerCaller         = "Curlewwalk-Caller"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
)

// digest returns a hash of a message: its method, URI, checked headers and body. The sender and the
// receiver both compute it, so that a changed message is detected.
func digest(method, uri string, h http.Header, body []byte) string {
	hash := sha256.New()
	for _, s := range []string{method, uri, h.Get(headerID), h.Get(headerExtra), strconv.Itoa(len(body))} {
		hash.Write([]byte(s + "\n"))
	}
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:12])
}

// deterministicBody returns n bytes that are derived from the seed. Different seeds give different
// bytes.
func deterministicBody(seed string, n int) []byte {
	out := make([]byte, 0, n+32)
	for i := 0; len(out) < n; i++ {
		sum := sha256.Sum256([]byte(seed + strconv.Itoa(i)))
		out = append(out, hex.EncodeToString(sum[:])...)
	}
	return out[:n]
}
