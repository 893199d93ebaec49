package proxy

import (
	"net/url"
	"strings"
)

// requestTargetURL is the URL that net/http writes as the very request target that the
// client sent.
func requestTargetURL(addr, uri string) *url.URL {
	u := &url.URL{Scheme: "http", Host: addr}
	if !strings.HasPrefix(uri, "//") {
		u.Opaque = uri
		return u
	}
	// As an opaque part it would be written in the form meant for proxies.
	path, query, asked := strings.Cut(uri, "?")
	u.Path, _ = url.PathUnescape(path)
	u.RawPath, u.RawQuery, u.ForceQuery = path, query, asked
	return u
}
