package proxy

import (
	"net/url"
	"strings"
)

// requestTargetURL returns the URL that net/http writes as the request target uri, byte for byte, in
// a request to addr.
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
