package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"curlewwalk/tests/faultproxy"
	"curlewwalk/tests/ledger"
)

// Backend is one backend instance on a machine.
type Backend struct {
	Instance string
	Service  string
	Zone     string
	Capacity int
	// Warmth is what it says of its warm-up; zero means warm.
	Warmth float64
	// SlowFactor is how many times longer than planned it works; zero means as planned.
	SlowFactor float64
	// TemporarySlowFactor is as Slow, of a while; zero if it is none.
	TemporarySlowFactor atomic.Int64
	// CountsAnnouncements reports whether its announcements are counted.
	CountsAnnouncements bool
	Control             string // the sidecar's control address
	RequestPlans        []RequestPlan
	Ledger              *ledger.Ledger
	HTTP                *http.Client
	// Handle, if set, takes the place of the ordinary behaviour.
	Handle http.Handler

	listener net.Listener
	server   *http.Server
	// GarblePercent is how many in a hundred answers are lost or wrong.
	GarblePercent atomic.Int64
	outgoing      atomic.Value
	open          atomic.Int64
	Peak          atomic.Int64
	Runs          atomic.Int64
	stop          context.CancelFunc
	done          chan struct{}
	leaving       atomic.Bool
	innerCalls    atomic.Int64
	announcements atomic.Int64
}

// Start listens on addr and announces itself until stopped.
func (b *Backend) Start(addr string) error {
	ln, err := faultproxy.Bind(addr)
	if err != nil {
		return err
	}
	b.listener = ln
	h := b.Handle
	if h == nil {
		h = http.HandlerFunc(b.serve)
	}
	b.server = &http.Server{Handler: h}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop, b.done = cancel, make(chan struct{})
	go b.server.Serve(ln)
	go b.announceLoop(ctx)
	return nil
}

// Addr is where the backend listens.
func (b *Backend) Addr() string { return b.listener.Addr().String() }

// Open is how many requests it is working on.
func (b *Backend) Open() int64 { return b.open.Load() }

// Kill ends the backend at once, cutting what is open.
func (b *Backend) Kill() {
	b.stop()
	b.server.Close()
	<-b.done
}

// Leave says that the backend is leaving. It serves on.
func (b *Backend) Leave(ctx context.Context) error {
	b.leaving.Store(true)
	if err := b.announce(ctx, true); err != nil {
		return err
	}
	b.Ledger.RecordLeaving(ledger.Leaving{Instance: b.Instance, At: time.Now()})
	return nil
}

// Deregister says that the backend has gone, without having said that it is leaving, and
// announces it no more. It serves on.
func (b *Backend) Deregister(ctx context.Context) error {
	b.StopAnnouncing()
	if err := b.deregister(ctx); err != nil {
		return err
	}
	b.Ledger.RecordLeaving(ledger.Leaving{Instance: b.Instance, At: time.Now()})
	return nil
}

// deregister is a word of leaving. One of a backend that is not known is taken as well.
func (b *Backend) deregister(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+b.Control+"/v1/backends/"+b.Instance, nil)
	if err != nil {
		return err
	}
	resp, err := b.HTTP.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 && resp.StatusCode != http.StatusNotFound {
		return fmt.Errorf("word of leaving: status %d", resp.StatusCode)
	}
	return nil
}

// SendLateAnnouncement sends an announcement from before the backend said that it is leaving.
func (b *Backend) SendLateAnnouncement(ctx context.Context) error { return b.announce(ctx, false) }

// CaptureAnnouncement is an announcement as it stands now, to be sent at any time, and again.
func (b *Backend) CaptureAnnouncement() (send func(ctx context.Context) error) {
	body := b.announcement(b.leaving.Load())
	return func(ctx context.Context) error { return b.sendAnnouncement(ctx, body) }
}

// StopAnnouncing ends the announcements. It serves on.
func (b *Backend) StopAnnouncing() {
	b.stop()
	<-b.done
}

// AnnounceLeaving says once that the backend is leaving, by its announcement or by a word of leaving;
// the caller tells the ledger.
func (b *Backend) AnnounceLeaving(ctx context.Context, deregister bool) error {
	if !deregister {
		b.leaving.Store(true)
		return b.announce(ctx, true)
	}
	return b.deregister(ctx)
}

func (b *Backend) announceLoop(ctx context.Context) {
	defer close(b.done)
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		b.announce(call, b.leaving.Load())
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// announcement is what the backend says of itself now.
func (b *Backend) announcement(leaving bool) []byte {
	a := map[string]any{
		"instance": b.Instance, "service": b.Service, "address": b.Addr(), "locality": b.Zone,
		"capacity": b.Capacity, "leaving": leaving,
	}
	if b.Warmth > 0 {
		a["warmup"] = map[string]any{"share": b.Warmth}
	}
	if b.CountsAnnouncements {
		a["count"] = b.announcements.Add(1)
	}
	body, _ := json.Marshal(a)
	return body
}

// announce tells the sidecar once.
func (b *Backend) announce(ctx context.Context, leaving bool) error {
	return b.sendAnnouncement(ctx, b.announcement(leaving))
}

// sendAnnouncement sends an announcement.
func (b *Backend) sendAnnouncement(ctx context.Context, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Control+"/v1/backends", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := b.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var reply struct {
		Outgoing string `json:"outgoing"`
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("announcement: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return err
	}
	b.outgoing.Store(reply.Outgoing)
	return nil
}

// serve runs a request: records it, works, makes its inner calls, answers.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	n := b.open.Add(1)
	defer b.open.Add(-1)
	for old := b.Peak.Load(); n > old && !b.Peak.CompareAndSwap(old, n); old = b.Peak.Load() {
	}
	b.Runs.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(headerID)
	b.Ledger.RecordRun(ledger.Ran{
		ID: id, Service: b.Service, Instance: b.Instance, Zone: b.Zone, Caller: r.Header.Get("Curlewwalk-Caller"),
		Digest: digest(r.Method, r.RequestURI, r.Header, body), Trace: r.Header.Get("X-B3-TraceId"), Span: r.Header.Get("X-B3-SpanId"), At: time.Now(),
	})
	plan, ok := matchPlan(b.RequestPlans, r.Method, r.URL.Path)
	if !ok {
		w.WriteHeader(http.StatusTeapot)
		return
	}
	work := plan.Work/2 + time.Duration(rand.Int64N(int64(plan.Work)+1))
	if b.SlowFactor > 0 {
		work = time.Duration(float64(work) * b.SlowFactor)
	}
	work *= time.Duration(max(1, b.TemporarySlowFactor.Load()))
	defer b.Ledger.RecordWork(ledger.Work{ID: id, Instance: b.Instance, Began: begun, Duration: work})()
	sleep(r.Context(), work/2)
	for _, name := range plan.Calls {
		b.innerCall(r.Context(), id, name)
	}
	sleep(r.Context(), work/2)
	if rand.Int64N(100) < b.GarblePercent.Load() {
		writeGarbled(w)
		return
	}
	answer := deterministicBody(id+b.Instance, 200+int(n)*10)
	w.Header().Set("X-Proof-Instance", b.Instance)
	w.Header().Set(headerID, id)
	w.Header().Set(headerDigest, digest("", "", w.Header(), answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	w.Write(answer)
}

// writeGarbled loses an answer, or sends one that is no whole one.
func writeGarbled(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	io.WriteString(c, []string{
		"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nonly this",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nonly", "\x00\xff not HTTP at all\r\n\r\n",
	}[rand.IntN(5)])
}

// innerCall makes one inner call through the address that the sidecar gave.
func (b *Backend) innerCall(ctx context.Context, cause, name string) {
	addr, _ := b.outgoing.Load().(string)
	if addr == "" {
		return
	}
	for _, plan := range b.RequestPlans {
		if plan.Name == name {
			sendRequest(ctx, b.HTTP, b.Ledger, addr, plan, b.Service, b.Zone, cause, fmt.Sprintf("%s/%s-%d", cause, b.Instance, b.innerCalls.Add(1)), "")
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func matchPlan(plans []RequestPlan, method, path string) (RequestPlan, bool) {
	for _, p := range plans {
		if p.Method == method && len(path) >= len(p.Prefix) && path[:len(p.Prefix)] == p.Prefix {
			return p, true
		}
	}
	return RequestPlan{}, false
}
