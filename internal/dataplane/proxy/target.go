package proxy

import (
	"net/url"
	"strings"
)

// requestTargetURL returns the URL that net/http writes as the request target uri, byte for byte, in
// a request to addr; that is so of all targets for which isFaithfulTarget is true.
func requestTargetURL(addr, uri string) *url.URL {
	u := &url.URL{Scheme: "http", Host: addr}
	if !strings.HasPrefix(uri, "//") {
		u.Opaque = uri
		return u
	}
	// As an opaque part, net/http would write it in the absolute form, which is for proxies.
	path, query, hasQuery := strings.Cut(uri, "?")
	u.Path, _ = url.PathUnescape(path)
	u.RawPath, u.RawQuery, u.ForceQuery = path, query, hasQuery
	return u
}

// isFaithfulTarget reports whether net/http writes the request target uri as it is.
func isFaithfulTarget(uri string) bool { return requestTargetURL("", uri).RequestURI() == uri }
