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

// TestOldAnnouncementsAfterWake checks that a resumed sidecar does not treat old announcements as new.
// The sidecar is frozen with announcements of a backend in its socket buffers. Meanwhile the backend
// dies, and another service starts at its address.
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
	resumed := time.Now()
	for time.Since(resumed) < 3*time.Second {
		r.send("GET", "/look/", "")
	}
	if n := misdirected.Load(); n > 0 {
		t.Errorf("%d requests reached a backend of another service, want 0", n)
	}
}
