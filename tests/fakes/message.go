// Package fakes has the callers and backends of test fleets. They keep their
// own records and pass no tracing along.
package fakes

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
)

// Headers that carry what the stand-ins check.
const (
	headerID     = "X-Proof-Id"
	headerDigest = "X-Proof-Digest"
)

// digest fingerprints a request as its sender made it, or as it arrived.
func digest(method, uri string, h http.Header, body []byte) string {
	d := sha256.New()
	for _, s := range []string{method, uri, h.Get(headerID), h.Get("X-Proof-Extra"), strconv.Itoa(len(body))} {
		d.Write([]byte(s + "\n"))
	}
	d.Write(body)
	return hex.EncodeToString(d.Sum(nil)[:12])
}

// deterministicBody makes n bytes that only belong to one text.
func deterministicBody(seed string, n int) []byte {
	out := make([]byte, 0, n+32)
	for i := 0; len(out) < n; i++ {
		sum := sha256.Sum256([]byte(seed + strconv.Itoa(i)))
		out = append(out, hex.EncodeToString(sum[:])...)
	}
	return out[:n]
}
