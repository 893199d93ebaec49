package proxy

import (
	"net/http"
	"slices"
	"strings"
)

// Headers of our own. (DESIGN 10.1)
const (
	HeaderCaller  = "Curlewwalk-Caller"
	HeaderOutcome = "Curlewwalk-Outcome"
	HeaderKey     = "Idempotency-Key"
)

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd copies a header without what concerns one hop only.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// isHopByHop tells whether a field concerns one hop only.
func isHopByHop(name string) bool {
	return slices.Contains(hopByHop, http.CanonicalHeaderKey(name))
}
