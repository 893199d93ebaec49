package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/faultproxy"
)

// A sidecar is frozen with announcements of a backend queued in its sockets, while the backend dies and its
// address is used by another service. Woken, it must not take the old announcements for new ones.
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
	awaitElapsed(r.ctx, t, frozen, 3*time.Second)
	r.Sidecars[1].Signal(syscall.SIGCONT)
	woken := time.Now()
	for time.Since(woken) < 3*time.Second {
		r.send("GET", "/look/", "")
	}
	if n := misdirected.Load(); n > 0 {
		t.Errorf("%d requests reached another service", n)
	}
}
