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

// Backend is one backend instance on a machine. It announces itself to the sidecar of that
// machine, and runs requests by the plans. The exported fields are set before Start.
type Backend struct {
	Instance string
	Service  string
	Zone     string
	Capacity int
	// Warmth is the share of its capacity that it announces; zero for all of it.
	Warmth float64
	// SlowFactor is how many times longer than planned it works; zero for as planned.
	SlowFactor float64
	// CountsAnnouncements is set if its announcements are numbered.
	CountsAnnouncements bool
	Control             string // the sidecar's control address
	RequestPlans        []RequestPlan
	Ledger              *ledger.Ledger
	HTTP                *http.Client
	// Handle, if set, replaces the ordinary behaviour.
	Handle http.Handler

	// TemporarySlowFactor is a further SlowFactor that may change at any time; zero for none.
	TemporarySlowFactor atomic.Int64
	// GarblePercent is how many of a hundred answers are lost or malformed.
	GarblePercent atomic.Int64
	// Peak is the most requests that it ran at a time, Runs counts all.
	Peak, Runs atomic.Int64

	listener      net.Listener
	server        *http.Server
	outgoing      atomic.Value // string: where its own calls are sent
	open          atomic.Int64
	stop          context.CancelFunc
	done          chan struct{}
	leaving       atomic.Bool
	innerCalls    atomic.Int64
	announcements atomic.Int64
}

// Timing of announcements.
const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 400 * time.Millisecond
)

// Start listens on addr, and announces the backend until it is killed or stopped.
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

// Open is how many requests it is running.
func (b *Backend) Open() int64 { return b.open.Load() }

// Kill ends the backend at once; what it runs is interrupted.
func (b *Backend) Kill() {
	b.stop()
	b.server.Close()
	<-b.done
}

// Leave announces that the backend is leaving. It goes on serving.
func (b *Backend) Leave(ctx context.Context) error {
	b.leaving.Store(true)
	if err := b.announce(ctx, true); err != nil {
		return err
	}
	b.Ledger.RecordLeaving(ledger.Leaving{Instance: b.Instance, At: time.Now()})
	return nil
}

// Deregister takes the backend out without announcing before that it is leaving, and ends its
// announcements. It goes on serving.
func (b *Backend) Deregister(ctx context.Context) error {
	b.StopAnnouncing()
	if err := b.deregister(ctx); err != nil {
		return err
	}
	b.Ledger.RecordLeaving(ledger.Leaving{Instance: b.Instance, At: time.Now()})
	return nil
}

// deregister asks the sidecar to take the backend out. It is no error if the sidecar does not
// know it.
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
		return fmt.Errorf("deregister: status %d", resp.StatusCode)
	}
	return nil
}

// SendLateAnnouncement sends an announcement from before the backend announced that it is
// leaving.
func (b *Backend) SendLateAnnouncement(ctx context.Context) error { return b.announce(ctx, false) }

// CaptureAnnouncement makes an announcement as of now, which send sends at any later time, and
// more than once.
func (b *Backend) CaptureAnnouncement() (send func(ctx context.Context) error) {
	body := b.announcement(b.leaving.Load())
	return func(ctx context.Context) error { return b.sendAnnouncement(ctx, body) }
}

// StopAnnouncing ends the announcements. The backend goes on serving.
func (b *Backend) StopAnnouncing() {
	b.stop()
	<-b.done
}

// AnnounceLeaving says once that the backend is leaving: by an announcement, or by deregistering
// it. The caller records that.
func (b *Backend) AnnounceLeaving(ctx context.Context, deregister bool) error {
	if !deregister {
		b.leaving.Store(true)
		return b.announce(ctx, true)
	}
	return b.deregister(ctx)
}

// announceLoop announces the backend until ctx ends.
func (b *Backend) announceLoop(ctx context.Context) {
	defer close(b.done)
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		b.announce(call, b.leaving.Load())
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// announcement is the body of an announcement as of now.
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

// announce sends one announcement.
func (b *Backend) announce(ctx context.Context, leaving bool) error {
	return b.sendAnnouncement(ctx, b.announcement(leaving))
}

// sendAnnouncement sends an announcement, and keeps the address for outgoing calls that the
// sidecar replies with.
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

// serve runs a request: it records the run, works, makes the inner calls, and answers.
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
		ID: id, Service: b.Service, Instance: b.Instance, Zone: b.Zone, Caller: r.Header.Get(headerCaller),
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
	w.Header().Set(headerInstance, b.Instance)
	w.Header().Set(headerID, id)
	w.Header().Set(headerDigest, digest("", "", w.Header(), answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	w.Write(answer)
}

// writeGarbled loses the answer, or writes a malformed one.
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

// innerCall makes one inner call, through the address that the sidecar gave.
func (b *Backend) innerCall(ctx context.Context, parent, name string) {
	addr, _ := b.outgoing.Load().(string)
	if addr == "" {
		return
	}
	for _, plan := range b.RequestPlans {
		if plan.Name == name {
			id := fmt.Sprintf("%s/%s-%d", parent, b.Instance, b.innerCalls.Add(1))
			sendRequest(ctx, b.HTTP, b.Ledger, request{address: addr, plan: plan, caller: b.Service, zone: b.Zone, parent: parent, id: id})
		}
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// matchPlan is the plan of a request, by method and path.
func matchPlan(plans []RequestPlan, method, path string) (RequestPlan, bool) {
	for _, p := range plans {
		if p.Method == method && len(path) >= len(p.Prefix) && path[:len(p.Prefix)] == p.Prefix {
			return p, true
		}
	}
	return RequestPlan{}, false
}
