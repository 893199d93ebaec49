package proxy

import (
	"net/url"
	"strings"
)

// requestTargetURL returns the URL that net/http writes, byte for byte, as the request target uri
// in a request to addr. This holds for all targets for which isPreservedTarget returns true.
func requestTargetURL(addr, uri string) *url.URL {
	u := &url.URL{Scheme: "http", Host: addr}
	if !strings.HasPrefix(uri, "//") {
		u.Opaque = uri
		return u
	}
	// net/http would write an opaque part that starts with "//" in absolute form, which is for
	// requests to proxies.
	path, query, hasQuery := strings.Cut(uri, "?")
	u.Path, _ = url.PathUnescape(path)
	u.RawPath, u.RawQuery, u.ForceQuery = path, query, hasQuery
	return u
}

// isPreservedTarget reports whether net/http writes the request target uri unchanged.
func isPreservedTarget(uri string) bool { return requestTargetURL("", uri).RequestURI() == uri }
