package proxy

import (
	"net/http"
	"slices"
	"strings"
)

// The headers that the proxy reads or sets. (DESIGN 10.1)
const (
	// HeaderCaller tells a backend which service has sent the request.
	HeaderCaller = "Curlewwalk-Caller"
	// HeaderOutcome tells a client of a local reply whether the request has run.
	HeaderOutcome = "Curlewwalk-Outcome"
	// HeaderKey is the key under which a request runs only once.
	HeaderKey = "Idempotency-Key"
)

// hopByHop are the header fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd copies a header without the fields that concern one connection only.
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

// isHopByHop reports whether a header field concerns one connection only.
func isHopByHop(name string) bool {
	return slices.Contains(hopByHop, http.CanonicalHeaderKey(name))
}
