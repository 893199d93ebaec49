package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/routing"
)

// newRoutesOutbound returns an outbound side with the given configuration, for tests of requests
// that it rejects.
func newRoutesOutbound(t *testing.T, configuration string, unconfirmed, outdated func() bool) *Outbound {
	t.Helper()
	table, ok := routing.NewTable(config.ControlState{Revision: 3, ConfigurationRevision: 3, Configuration: []byte(configuration)})
	if !ok {
		t.Fatal("invalid configuration")
	}
	return NewOutbound(OutboundConfig{MinRetryAfter: 100 * time.Millisecond}, OutboundDeps{
		Table: func() *routing.Table { return table }, Dialect: DefaultDialect{}, RefusesClients: func() bool { return false }, Bodies: &BodyLimiter{MaxBody: 1 << 20, MaxTotal: 1 << 20},
		ConfigurationUnconfirmed: unconfirmed, ConfigurationOutdated: outdated,
	})
}

// serve returns a sidecar's response to a client's request.
func serve(o *Outbound, method, url string) *httptest.ResponseRecorder {
	response := httptest.NewRecorder()
	o.Handler("").ServeHTTP(response, httptest.NewRequest(method, url, nil))
	return response
}

// TestNoRouteWhileUnconfirmed checks that a request without a route gets 404 only if the
// configuration is confirmed as the newest. Otherwise the request is rejected as not run, with a
// retry time.
func TestNoRouteWhileUnconfirmed(t *testing.T) {
	var unconfirmed bool
	o := newRoutesOutbound(t, `{"ways":[],"contracts":[]}`, func() bool { return unconfirmed }, nil)
	for i, c := range []struct {
		unconfirmed bool
		status      int
	}{
		{false, http.StatusNotFound},
		{true, http.StatusServiceUnavailable},
		{false, http.StatusNotFound},
	} {
		t.Run(fmt.Sprintf("%d, unconfirmed %v", i, c.unconfirmed), func(t *testing.T) {
			unconfirmed = c.unconfirmed
			response := serve(o, http.MethodGet, "http://orders.example/new")
			if retryAfter := response.Header().Get("Retry-After"); response.Code != c.status || (retryAfter != "") != c.unconfirmed {
				t.Errorf("got status %d, Retry-After %q, want 404 without Retry-After if the configuration is confirmed, 503 with it otherwise", response.Code, retryAfter)
			}
		})
	}
}

// TestNoRouteWhileOutdated checks that a sidecar whose configuration is known to be outdated uses
// none of its routes, including one that matches. The request is rejected at once as not run, with
// a retry time.
func TestNoRouteWhileOutdated(t *testing.T) {
	o := newRoutesOutbound(t,
		`{"ways":[{"name":"old","prefix":"/old/","service":"orders","contract":"c"}],"contracts":[{"name":"c","aim":"1s","expiry":"2s","rank":1}]}`,
		nil, func() bool { return true })
	response := serve(o, http.MethodPost, "http://orders.example/old/1")
	header := response.Header()
	if response.Code != http.StatusServiceUnavailable || header.Get(HeaderOutcome) != string(routing.NotRun) || header.Get("Retry-After") == "" {
		t.Errorf("got status %d, outcome %q, Retry-After %q, want 503, not-run and a Retry-After", response.Code, header.Get(HeaderOutcome), header.Get("Retry-After"))
	}
}

// TestDeadlines checks that a request's deadline is its contract's, or the client's if the client
// waits for a shorter time.
func TestDeadlines(t *testing.T) {
	var contract config.Contract
	contract.LatencyTarget.Duration, contract.Deadline.Duration = time.Second, 3*time.Second
	start := time.Now()
	for name, c := range map[string]struct{ clientTimeout, want time.Duration }{
		"no client timeout":      {0, 3 * time.Second},
		"longer client timeout":  {time.Minute, 3 * time.Second},
		"shorter client timeout": {time.Millisecond, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			got := newDeadlines(start, contract, c.clientTimeout)
			if want := (deadlines{start, start.Add(time.Second), start.Add(c.want)}); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}
