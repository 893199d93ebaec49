package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewwalk/tests/faultproxy"
	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

// TestAddressReused checks that a request for one service never reaches another. A backend dies, and a
// backend of another service starts at its address.
func TestAddressReused(t *testing.T) {
	r := newRig(t)
	var misdirected atomic.Int64
	stopped := r.backend(1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	if a := r.send("POST", "/once/", "x"); a.StatusCode != 200 {
		t.Fatalf("request to the first backend: got %d %s, want 200", a.StatusCode, a.body)
	}
	addr := stopped.Addr()
	stopped.Kill()
	ln, err := faultproxy.Bind(addr)
	must(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { misdirected.Add(1) })}
	defer srv.Close()
	go srv.Serve(ln)
	body := fmt.Sprintf(`{"instance": "newcomer", "service": "another", "address": %q, "capacity": 1}`, addr)
	resp, err := r.HTTP.Post("http://"+r.Sidecars[1].Control+"/v1/backends", "application/json", bytes.NewReader([]byte(body)))
	must(t, err)
	resp.Body.Close()
	for range 10 {
		r.expect(r.send("POST", "/once/", "x"), 503, ledger.OutcomeNotRun)
	}
	if misdirected.Load() != 0 {
		t.Errorf("%d requests reached a backend of another service, want 0", misdirected.Load())
	}
}

// TestSilentBackend checks that a backend gets no new requests soon after its announcements stop. The
// backend still answers, so only the age of its last announcement can show that it is gone.
func TestSilentBackend(t *testing.T) {
	r := newRig(t)
	var runs atomic.Int64
	var lastRunAt atomic.Int64
	ln, err := net.Listen("tcp", net.JoinHostPort(r.Site.IP(1), "0"))
	must(t, err)
	begin := time.Now()
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		lastRunAt.Store(int64(time.Since(begin)))
	})}
	defer srv.Close()
	go srv.Serve(ln)
	body := fmt.Sprintf(`{"instance": "mute", "service": "desk", "address": %q, "capacity": 1}`, ln.Addr())
	resp, err := r.HTTP.Post("http://"+r.Sidecars[1].Control+"/v1/backends", "application/json", bytes.NewReader([]byte(body)))
	must(t, err)
	resp.Body.Close()
	announcedAt := time.Since(begin)
	must(t, r.AwaitServing(r.ctx, 1, 1))
	refused := 0
	for refused < 5 && r.ctx.Err() == nil {
		if a := r.send("GET", "/look/", ""); a.StatusCode == 503 {
			refused++
		}
	}
	if runs.Load() == 0 || time.Duration(lastRunAt.Load())-announcedAt > 1600*time.Millisecond {
		t.Errorf("the backend ran %d times, the last time %v after its only announcement; want at least one run and at most 1.6s", runs.Load(), time.Duration(lastRunAt.Load())-announcedAt)
	}
}

// TestReload checks that a sidecar and a replica report the result of a reload after SIGHUP: the
// settings that it applied, and those that it could not apply. With unchanged settings both must be
// empty.
func TestReload(t *testing.T) {
	r := newRig(t)
	for _, p := range []interface {
		Signal(syscall.Signal)
		Get(context.Context, string, any) (int, error)
	}{r.Sidecars[0], r.Replicas[0]} {
		p.Signal(syscall.SIGHUP)
		must(t, awaitCondition(r.ctx, func(ctx context.Context) bool {
			var got *struct {
				Applied []string `json:"applied"`
				Fault   string   `json:"fault"`
			}
			_, err := p.Get(ctx, "/v1/reload", &got)
			return err == nil && got != nil && got.Fault == "" && len(got.Applied) == 0
		}))
	}
}

// TestRefusalReason checks that the reason for an error response can be found in the request's trace,
// and that the sidecar's log contains the trace identifier.
func TestRefusalReason(t *testing.T) {
	r := newRig(t)
	r.rawBackend(1, func(int, net.Conn) {})
	a := r.send("POST", "/once/", "x")
	r.expect(a, 502, ledger.OutcomeUnknown)
	var refusal struct{ Trace string }
	must(t, json.Unmarshal(a.body, &refusal))
	must(t, fleet.Await(r.ctx, "the reason in the trace", func(ctx context.Context) bool {
		var tr fleet.TraceTree
		_, err := r.Replicas[0].Get(ctx, "/v1/traces/"+refusal.Trace, &tr)
		if err != nil || len(tr.Roots) != 1 || len(tr.Roots[0].Events) != 4 {
			return false
		}
		final := tr.Roots[0].Events[3]
		return final.Status == 502 && final.Outcome == ledger.OutcomeUnknown && final.Reason != "" && tr.Roots[0].Events[2].Reason == final.Reason
	}))
	resp, err := r.HTTP.Get("http://" + r.Sidecars[0].Control + "/v1/log")
	must(t, err)
	defer resp.Body.Close()
	log, err := io.ReadAll(resp.Body)
	must(t, err)
	if !bytes.Contains(log, []byte(refusal.Trace)) {
		t.Errorf("the log does not contain trace %s: %s", refusal.Trace, log)
	}
}
