package e2e

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// TestClientCancellationPropagates checks that all nested calls of a request end soon after its client
// closes the connection. The sidecars close the connection to each backend, which ends the backend's
// own calls, and so on for each further call.
func TestClientCancellationPropagates(t *testing.T) {
	t.Parallel()
	deep := fakes.RequestPlan{Name: "deep", Method: "GET", Prefix: "/deep/", Service: "store", LatencyTarget: time.Second, Deadline: 10 * time.Second, Priority: 1, Idempotent: true}
	top := readPlan
	top.Deadline = 10 * time.Second
	f, ctx := startFleet(t, fleet.Size{Name: "rig", Replicas: 1, Machines: 2, Zones: []string{"north", "south"}, Capacity: 9, Plans: []fakes.RequestPlan{top, deep}})
	r := &rig{Fleet: f, t: t, ctx: ctx}
	reached, ended := make(chan string, 9), make(chan string, 9)
	blockingHandler := func(name string, calls func(ctx context.Context)) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			reached <- name
			calls(q.Context())
			<-q.Context().Done()
			ended <- name
		})
	}
	r.backendOf("store", 1, blockingHandler("leaf", func(context.Context) {}))
	root := blockingHandler("root", func(ctx context.Context) {
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.RequestAddress(0)+"/deep/x", nil)
		if err != nil {
			t.Error(err)
			return
		}
		resp, err := r.HTTP.Transport.RoundTrip(req)
		if err == nil {
			resp.Body.Close()
		}
	})
	r.backendOf("desk", 0, root)
	c, err := net.Dial("tcp", r.RequestAddress(1))
	must(t, err)
	io.WriteString(c, "GET /look/x HTTP/1.1\r\nHost: x\r\n\r\n")
	for range 2 {
		receive(r, reached)
	}
	closedAt := time.Now()
	c.Close()
	for range 2 {
		name := receive(r, ended)
		if after := time.Since(closedAt); after > 3*time.Second {
			t.Errorf("backend %s ended %v after the client closed its connection, want at most 3s", name, after)
		}
	}
}
