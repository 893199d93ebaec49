package proxy

import "testing"

// TestRequestTarget checks that net/http writes the client's request target byte for byte.
func TestRequestTarget(t *testing.T) {
	for _, uri := range []string{"/", "/a%2Fb", "/a//b?x=%20", "//two/slashes?q", "//two?", "/?", "*", "/%e2%82%ac", "http://host/path?q=1"} {
		t.Run(uri, func(t *testing.T) {
			if got := requestTargetURL("127.0.0.1:1", uri).RequestURI(); got != uri {
				t.Errorf("net/http writes the request target as %q", got)
			}
		})
	}
}
