package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
)

// TestFixedOutgoing checks a fixed address for the outgoing calls of a service. The backends of the
// service must get this address, and calls to it must be attributed to the service.
func TestFixedOutgoing(t *testing.T) {
	f, ctx := newFleet(t, smallFleet())
	fixed := f.Site.IP(0) + ":7500"
	f.Sidecars[0].AddArgs("--outgoing=orders:" + fixed)
	must(t, f.Start(ctx))
	var got []struct{ Service, Outgoing string }
	_, err := f.Sidecars[0].Get(ctx, "/v1/backends", &got)
	must(t, err)
	if len(got) != 1 || got[0].Service != "orders" || got[0].Outgoing != fixed {
		t.Errorf("got backends %+v, want one of orders with the configured address", got)
	}
	c := f.NewClient(0, 1)
	for range 5 {
		if a := c.SendOne(ctx, f.Size.Plans[0]); a.Status != 200 {
			t.Errorf("got %+v, want status 200", a)
		}
	}
	checkLedger(t, f)
}

// TestOutgoingAddressSurvivesRestart checks that a service keeps its address for outgoing calls when
// its sidecar is killed and restarted. A backend continues to use the address that it got before. Its
// calls must be attributed to its own service, whichever backend announces itself first to the new
// sidecar.
func TestOutgoingAddressSurvivesRestart(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	callers := make(chan string, 1)
	r.backend(1, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { callers <- q.Header.Get("Curlewwalk-Caller") }))
	announce := func(service string) (got struct{ Outgoing string }) {
		body := fmt.Appendf(nil, `{"instance": %q, "service": %q, "address": "%s:8700", "capacity": 1}`, service, service, r.Site.IP(0))
		resp, err := r.HTTP.Post("http://"+r.Sidecars[0].Control+"/v1/backends", "application/json", bytes.NewReader(body))
		must(t, err)
		defer resp.Body.Close()
		must(t, json.NewDecoder(resp.Body).Decode(&got))
		return got
	}
	addrBefore := announce("hotline").Outgoing
	r.Sidecars[0].Kill()
	must(t, r.Sidecars[0].Start())
	must(t, r.Sidecars[0].AwaitReady(r.ctx))
	if other := announce("surveys").Outgoing; other == addrBefore || other == "" {
		t.Errorf("surveys got the address %q, hotline had %q; want different addresses", other, addrBefore)
	}
	announce("hotline")
	var status int
	must(t, awaitCondition(r.ctx, func(_ context.Context) bool {
		resp, err := http.Post("http://"+addrBefore+"/once/x", "text/plain", bytes.NewReader([]byte("x")))
		if err != nil {
			t.Fatalf("request to the outgoing address of hotline: %v", err)
		}
		resp.Body.Close()
		status = resp.StatusCode
		return status == 200
	}))
	if got := receive(r, callers); got != "hotline" {
		t.Errorf("a call of hotline was attributed to %q, want hotline", got)
	}
}
