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

// The address of a backend that died is used by one of another service: nothing meant for the first
// reaches the second.
func TestAddressReused(t *testing.T) {
	r := newRig(t)
	var misdirected atomic.Int64
	old := r.backend(1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	if a := r.send("POST", "/once/", "x"); a.StatusCode != 200 {
		t.Fatalf("got %d %s", a.StatusCode, a.body)
	}
	addr := old.Addr()
	old.Kill()
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
		t.Errorf("%d requests reached another service", misdirected.Load())
	}
}

// A backend whose announcements stop gets no new requests, by the age of the last one alone.
func TestSilentBackend(t *testing.T) {
	r := newRig(t)
	var runs atomic.Int64
	var last atomic.Int64
	ln, err := net.Listen("tcp", net.JoinHostPort(r.Site.IP(1), "0"))
	must(t, err)
	begin := time.Now()
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		last.Store(int64(time.Since(begin)))
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
	if runs.Load() == 0 || time.Duration(last.Load())-announcedAt > 1600*time.Millisecond {
		t.Errorf("ran %d times, last %v after its only announcement", runs.Load(), time.Duration(last.Load())-announcedAt)
	}
}

// A reload applies what it can, and reports what it can't.
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

// The reason of an answer can be read from its trace and from the log.
func TestRefusalReason(t *testing.T) {
	r := newRig(t)
	r.rawBackend(1, func(int, net.Conn) {})
	a := r.send("POST", "/once/", "x")
	r.expect(a, 502, ledger.OutcomeUnknown)
	var own struct{ Trace string }
	must(t, json.Unmarshal(a.body, &own))
	must(t, fleet.Await(r.ctx, "the reason in the trace", func(ctx context.Context) bool {
		var tr fleet.TraceTree
		_, err := r.Replicas[0].Get(ctx, "/v1/traces/"+own.Trace, &tr)
		if err != nil || len(tr.Roots) != 1 || len(tr.Roots[0].Events) != 4 {
			return false
		}
		last := tr.Roots[0].Events[3]
		return last.Status == 502 && last.Outcome == ledger.OutcomeUnknown && last.Reason != "" && tr.Roots[0].Events[2].Reason == last.Reason
	}))
	resp, err := r.HTTP.Get("http://" + r.Sidecars[0].Control + "/v1/log")
	must(t, err)
	defer resp.Body.Close()
	log, err := io.ReadAll(resp.Body)
	must(t, err)
	if !bytes.Contains(log, []byte(own.Trace)) {
		t.Errorf("the log does not have trace %s: %s", own.Trace, log)
	}
}
