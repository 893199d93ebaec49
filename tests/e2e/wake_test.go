package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/faultproxy"
	"curlewwalk/tests/fleet"
)

// A sidecar is frozen with beats of a backend piled up in its sockets, while
// the backend dies and its address passes to another service. Woken, it must
// not take the old beats for new ones.
func TestOldAnnouncementsAfterWake(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	b := &fakes.Backend{
		Instance: "old", Service: "desk", Zone: r.Zone(1), Capacity: 9, Control: r.Sidecars[1].Control,
		Ledger: r.Ledger, HTTP: r.HTTP, Handle: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	}
	must(t, b.Start(r.Site.IP(1)+":8600"))
	must(t, r.AwaitServing(r.ctx, 1, 1))
	r.Sidecars[1].Signal(syscall.SIGSTOP)
	frozen := time.Now()
	body := fmt.Appendf(nil, `{"instance": "old", "service": "desk", "address": %q, "capacity": 9}`, b.Addr())
	var announcements sync.WaitGroup
	defer announcements.Wait()
	for range 5 {
		announcements.Go(func() {
			resp, err := http.Post("http://"+r.Sidecars[1].Control+"/v1/backends", "application/json", bytes.NewReader(body))
			if err == nil {
				resp.Body.Close()
			}
		})
	}
	addr := b.Addr()
	b.Kill()
	ln, err := faultproxy.Bind(addr)
	must(t, err)
	var misdirected atomic.Int64
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { misdirected.Add(1) })}
	defer srv.Close()
	go srv.Serve(ln)
	must(t, fleet.Await(r.ctx, "3 s to pass", func(context.Context) bool { return time.Since(frozen) > 3*time.Second }))
	r.Sidecars[1].Signal(syscall.SIGCONT)
	woken := time.Now()
	for time.Since(woken) < 3*time.Second {
		r.send("GET", "/look/", "")
	}
	if n := misdirected.Load(); n > 0 {
		t.Errorf("%d inquiries reached another service", n)
	}
}
