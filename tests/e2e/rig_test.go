package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// rig is a fleet of one replica and two machines, for tests that supply their own backends. Clients
// send to machine 0, and the backends are usually on machine 1.
type rig struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context
	// backendCount is the number of backends that were started or announced.
	backendCount int
}

// The routes of a rig. A request to the once route must not run twice; requests to the other routes
// are idempotent.
var (
	oncePlan = fakes.RequestPlan{Name: "once", Method: "POST", Prefix: "/once/", Service: "desk", LatencyTarget: time.Second, Deadline: 3 * time.Second, Priority: 1, Work: time.Millisecond, BodySize: 50}
	headPlan = fakes.RequestPlan{Name: "head", Method: "HEAD", Prefix: "/look/", Service: "desk", LatencyTarget: time.Second, Deadline: 3 * time.Second, Priority: 1, Idempotent: true}
	readPlan = fakes.RequestPlan{Name: "look", Method: "GET", Prefix: "/look/", Service: "desk", LatencyTarget: time.Second, Deadline: 3 * time.Second, Priority: 1, Work: time.Millisecond, Idempotent: true}
)

func newRig(t *testing.T) *rig {
	f, ctx := startFleet(t, fleet.Size{Name: "rig", Replicas: 1, Machines: 2, Zones: []string{"north", "south"}, Capacity: 9, Plans: []fakes.RequestPlan{oncePlan, readPlan, headPlan}})
	return &rig{Fleet: f, t: t, ctx: ctx}
}

// backend starts a backend on a machine that answers with h, and waits until the sidecars know the
// backend.
func (r *rig) backend(machine int, h http.Handler) *fakes.Backend {
	r.t.Helper()
	return r.backendOf("desk", machine, h)
}

// backendOf is like backend, for the given service.
func (r *rig) backendOf(service string, machine int, h http.Handler) *fakes.Backend {
	r.t.Helper()
	n := r.backendCount
	r.backendCount++
	b := &fakes.Backend{
		Instance: fmt.Sprintf("%s-%d", service, n), Service: service, Zone: r.Zone(machine), Capacity: 9,
		Control: r.Sidecars[machine].Control, RequestPlans: r.Size.Plans, Ledger: r.Ledger, HTTP: r.HTTP, Handle: h,
	}
	must(r.t, b.Start(net.JoinHostPort(r.Site.IP(machine), fmt.Sprint(8000+n))))
	r.Backends = append(r.Backends, b)
	must(r.t, r.AwaitServing(r.ctx, 1, r.backendCount))
	return b
}

// answer is the response to a request, with its body and the time from request to response.
type answer struct {
	*http.Response
	body []byte
	took time.Duration
}

// send sends a request to the sidecar of machine 0. header holds alternating names and values.
func (r *rig) send(method, uri, body string, header ...string) answer {
	r.t.Helper()
	req, err := http.NewRequestWithContext(r.ctx, method, "http://"+r.RequestAddress(0)+uri, bytes.NewReader([]byte(body)))
	must(r.t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	begin := time.Now()
	resp, err := r.HTTP.Transport.RoundTrip(req)
	must(r.t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must(r.t, err)
	return answer{Response: resp, body: b, took: time.Since(begin)}
}

// expect checks the status, outcome and reason of a response that a sidecar generated itself.
func (r *rig) expect(a answer, status int, outcome string) {
	r.t.Helper()
	var reply struct{ Outcome, Reason, Trace string }
	json.Unmarshal(a.body, &reply)
	if a.StatusCode != status || a.Header.Get(outcomeHeader) != outcome || reply.Outcome != outcome || reply.Reason == "" {
		r.t.Errorf("got %d %q %s, want %d %q", a.StatusCode, a.Header.Get(outcomeHeader), a.body, status, outcome)
	}
	if status >= 500 && a.Header.Get("Retry-After") == "" {
		r.t.Errorf("got status %d without Retry-After", status)
	}
}

// rawBackend starts a backend that reads once from each connection, calls respond to write the answer,
// and closes the connection. respond gets the number of the request, starting at 1. count returns the
// number of requests so far.
func (r *rig) rawBackend(machine int, respond func(n int, c net.Conn)) (count func() int) {
	r.t.Helper()
	return r.rawBackendAs(machine, "raw", respond)
}

// rawBackendAs is like rawBackend, with the given instance name.
func (r *rig) rawBackendAs(machine int, instance string, respond func(n int, c net.Conn)) (count func() int) {
	r.t.Helper()
	ln, err := net.Listen("tcp", net.JoinHostPort(r.Site.IP(machine), "0"))
	must(r.t, err)
	r.t.Cleanup(func() { ln.Close() })
	seen := make(chan int, 1)
	seen <- 0
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, 4096)
				if k, _ := c.Read(b); k == 0 {
					return
				}
				n := <-seen + 1
				seen <- n
				respond(n, c)
			}()
		}
	}()
	r.announceBackend(machine, instance, ln.Addr().String())
	return func() int { n := <-seen; seen <- n; return n }
}

// announceBackend announces a backend at addr every 500 ms until the test ends.
func (r *rig) announceBackend(machine int, instance, addr string) {
	r.t.Helper()
	body, _ := json.Marshal(map[string]any{"instance": instance, "service": "desk", "address": addr, "capacity": 9})
	announce := func() error {
		resp, err := r.HTTP.Post("http://"+r.Sidecars[machine].Control+"/v1/backends", "application/json", bytes.NewReader(body))
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	must(r.t, announce())
	done := make(chan struct{})
	r.t.Cleanup(func() { close(done) })
	go func() {
		tick := time.NewTicker(500 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				announce()
			}
		}
	}()
	r.backendCount++
	must(r.t, r.AwaitServing(r.ctx, 1, r.backendCount))
}

// awaitJoined waits until n repeats have joined a running request at the sidecar of machine 0.
func (r *rig) awaitJoined(n int64) {
	r.t.Helper()
	r.awaitStats(0, "repeats to join", func(s sidecarStats) bool { return s.Outbound.Open == n+1 })
}

// receive returns the next value from ch. It fails the test if the test's context ends first.
func receive[T any](r *rig, ch <-chan T) T {
	r.t.Helper()
	select {
	case v := <-ch:
		return v
	case <-r.ctx.Done():
		r.t.Fatal("timed out waiting to receive from a channel")
		panic("not reached")
	}
}
