package fakes

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
)

// Headers by which the fakes check what arrives.
const (
	headerID       = "X-Proof-Id"
	headerDigest   = "X-Proof-Digest"
	headerExtra    = "X-Proof-Extra"
	headerInstance = "X-Proof-Instance"
)

// Headers of the system.
const (
	headerOutcome        = "Curlewwalk-Outcome"
	headerCaller         = "Curlewwalk-Caller"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
)

// digest is the fingerprint of a request, as its sender made it or as it arrived.
func digest(method, uri string, h http.Header, body []byte) string {
	d := sha256.New()
	for _, s := range []string{method, uri, h.Get(headerID), h.Get(headerExtra), strconv.Itoa(len(body))} {
		d.Write([]byte(s + "\n"))
	}
	d.Write(body)
	return hex.EncodeToString(d.Sum(nil)[:12])
}

// deterministicBody makes n bytes that follow from a seed and from no other one.
func deterministicBody(seed string, n int) []byte {
	out := make([]byte, 0, n+32)
	for i := 0; len(out) < n; i++ {
		sum := sha256.Sum256([]byte(seed + strconv.Itoa(i)))
		out = append(out, hex.EncodeToString(sum[:])...)
	}
	return out[:n]
}
