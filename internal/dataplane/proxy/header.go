package proxy

import (
	"net/http"
	"slices"
	"strings"
)

// The headers that the proxy reads or sets. (DESIGN 10.1)
const (
	// HeaderCaller names the service that sent the request, in requests to backends.
	HeaderCaller = "Curlewwalk-Caller"
	// HeaderOutcome reports whether the request has run, in local replies to clients.
	HeaderOutcome = "Curlewwalk-Outcome"
	// HeaderKey is the idempotency key of a request. Requests with the same key run only once.
	HeaderKey = "Idempotency-Key"
)

// hopByHop lists the header fields that apply to a single connection. It includes Content-Length
// and Expect, because each side reads the complete body before it forwards it in a new message.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of a header without the fields that apply to a single connection.
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

// isHopByHop reports whether a header field applies to a single connection.
func isHopByHop(name string) bool {
	return slices.Contains(hopByHop, http.CanonicalHeaderKey(name))
}
