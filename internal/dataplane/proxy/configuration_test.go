package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/routing"
)

// That there is no way for a request is said only by who is sure of the newest
// configuration; else it is refused as not run, with when to come back.
func TestNoRouteWhileUnsure(t *testing.T) {
	table, ok := routing.NewTable(config.ControlState{Revision: 3, ConfigurationRevision: 3, Configuration: []byte(`{"ways":[],"contracts":[]}`)})
	if !ok {
		t.Fatal("no table")
	}
	unsure := false
	n := NewOutbound(OutboundConfig{}, OutboundDeps{
		Table: func() *routing.Table { return table }, Dialect: DefaultDialect{}, Draining: func() bool { return false }, Bodies: &BodyLimiter{MaxBody: 1 << 20, MaxTotal: 1 << 20},
		ConfigurationUnconfirmed: func() bool { return unsure },
	})
	for _, c := range []struct {
		unsure bool
		status int
	}{{false, http.StatusNotFound}, {true, http.StatusServiceUnavailable}, {false, http.StatusNotFound}} {
		unsure = c.unsure
		w := httptest.NewRecorder()
		n.Handler("").ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://orders.example/new", nil))
		if w.Code != c.status || (w.Header().Get("Retry-After") != "") != c.unsure {
			t.Errorf("unsure %v: %d, come back in %q", c.unsure, w.Code, w.Header().Get("Retry-After"))
		}
	}
}

// A sidecar that is known to be behind chooses no route by its old configuration, be it one
// that it has: the request is refused at once as not run, with when to come back.
func TestNoRouteWhileBehind(t *testing.T) {
	table, ok := routing.NewTable(config.ControlState{Revision: 3, ConfigurationRevision: 3, Configuration: []byte(
		`{"ways":[{"name":"old","prefix":"/old/","service":"orders","contract":"c"}],"contracts":[{"name":"c","aim":"1s","expiry":"2s","rank":1}]}`,
	)})
	if !ok {
		t.Fatal("no table")
	}
	n := NewOutbound(OutboundConfig{MinRetryAfter: 100 * time.Millisecond}, OutboundDeps{
		Table: func() *routing.Table { return table }, Dialect: DefaultDialect{}, Draining: func() bool { return false }, Bodies: &BodyLimiter{MaxBody: 1 << 20, MaxTotal: 1 << 20},
		ConfigurationOutdated: func() bool { return true },
	})
	w := httptest.NewRecorder()
	n.Handler("").ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://orders.example/old/1", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Curlewwalk-Outcome") != string(routing.NotRun) || w.Header().Get("Retry-After") == "" {
		t.Errorf("behind: %d, %q, come back in %q", w.Code, w.Header().Get("Curlewwalk-Outcome"), w.Header().Get("Retry-After"))
	}
}
