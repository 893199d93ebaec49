package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
)

// A fixed address for the outgoing calls of a service is the one that its backends get, and it
// identifies the caller.
func TestFixedOutgoing(t *testing.T) {
	f, ctx := newFleet(t, smallFleet())
	fixed := f.Site.IP(0) + ":7500"
	f.Sidecars[0].AddArgs("--outgoing=orders:" + fixed)
	must(t, f.Start(ctx))
	var got []struct{ Service, Outgoing string }
	_, err := f.Sidecars[0].Get(ctx, "/v1/backends", &got)
	must(t, err)
	if len(got) != 1 || got[0].Service != "orders" || got[0].Outgoing != fixed {
		t.Errorf("backends: %+v", got)
	}
	c := f.NewClient(0, 1)
	for range 5 {
		if a := c.SendOne(ctx, f.Size.Plans[0]); a.Status != 200 {
			t.Errorf("%+v", a)
		}
	}
	checkLedger(t, f)
}

// A backend that got an address before its sidecar was killed goes on sending there: such a call is
// attributed to its service, whichever backend announces itself first to the new sidecar.
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
	old := announce("hotline").Outgoing
	r.Sidecars[0].Kill()
	must(t, r.Sidecars[0].Start())
	must(t, r.Sidecars[0].AwaitReady(r.ctx))
	if other := announce("surveys").Outgoing; other == old || other == "" {
		t.Errorf("surveys got %q, hotline %q before", other, old)
	}
	announce("hotline")
	var a int
	must(t, awaitCondition(r.ctx, func(_ context.Context) bool {
		resp, err := http.Post("http://"+old+"/once/x", "text/plain", bytes.NewReader([]byte("x")))
		if err != nil {
			t.Fatalf("the address that hotline got: %v", err)
		}
		resp.Body.Close()
		a = resp.StatusCode
		return a == 200
	}))
	if got := receive(r, callers); got != "hotline" {
		t.Errorf("a call of hotline was attributed to %q", got)
	}
}
