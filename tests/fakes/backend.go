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
// machine and runs each request as its plan specifies. The exported fields must be set before
// Start, except for the atomic ones.
type Backend struct {
	Instance string
	Service  string
	Zone     string
	Capacity int
	// Warmth is the share of the capacity that is announced as warmed up. Zero means a fully warm
	// backend.
	Warmth float64
	// SlowFactor multiplies the planned work time. Zero means the planned time.
	SlowFactor float64
	// CountsAnnouncements makes each announcement carry a sequence number.
	CountsAnnouncements bool
	Control             string // control address of the sidecar
	RequestPlans        []RequestPlan
	Ledger              *ledger.Ledger
	HTTP                *http.Client
	// Handle, if set, replaces the default handler, which runs requests by the plans.
	Handle http.Handler

	// TemporarySlowFactor multiplies the work time in addition to SlowFactor. It may change at any
	// time. Zero means no further factor.
	TemporarySlowFactor atomic.Int64
	// GarblePercent is the percentage of answers that are lost or malformed.
	GarblePercent atomic.Int64
	// Peak is the highest number of concurrent requests so far. Runs counts all requests.
	Peak, Runs atomic.Int64

	listener      net.Listener
	server        *http.Server
	outgoing      atomic.Value // string: address for the backend's own calls
	open          atomic.Int64
	stop          context.CancelFunc
	done          chan struct{}
	leaving       atomic.Bool
	innerCalls    atomic.Int64
	announcements atomic.Int64
}

// Interval between announcements, and time limit for each. The limit is below the interval, so a
// sidecar that does not answer does not delay the next announcement.
const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 400 * time.Millisecond
)

// Start listens on addr and announces the backend periodically until Kill, StopAnnouncing or
// Deregister.
func (b *Backend) Start(addr string) error {
	ln, err := faultproxy.Bind(addr)
	if err != nil {
		return err
	}
	b.listener = ln
	handler := b.Handle
	if handler == nil {
		handler = http.HandlerFunc(b.serve)
	}
	b.server = &http.Server{Handler: handler}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop, b.done = cancel, make(chan struct{})
	go b.server.Serve(ln)
	go b.announceLoop(ctx)
	return nil
}

// Addr returns the address on which the backend listens.
func (b *Backend) Addr() string { return b.listener.Addr().String() }

// Open returns the number of requests that the backend is running.
func (b *Backend) Open() int64 { return b.open.Load() }

// Kill stops the backend at once and closes its connections, which interrupts running requests.
func (b *Backend) Kill() {
	b.stop()
	b.server.Close()
	<-b.done
}

// Leave announces that the backend is leaving and records that in the ledger. The backend
// continues to serve requests.
func (b *Backend) Leave(ctx context.Context) error {
	b.leaving.Store(true)
	if err := b.announce(ctx, true); err != nil {
		return err
	}
	b.Ledger.RecordLeaving(ledger.Leaving{Instance: b.Instance, At: time.Now()})
	return nil
}

// Deregister stops the announcements and deregisters the backend without a preceding announcement
// that it is leaving. It records the departure in the ledger. The backend continues to serve
// requests.
func (b *Backend) Deregister(ctx context.Context) error {
	b.StopAnnouncing()
	if err := b.deregister(ctx); err != nil {
		return err
	}
	b.Ledger.RecordLeaving(ledger.Leaving{Instance: b.Instance, At: time.Now()})
	return nil
}

// deregister sends a deregistration to the sidecar. An answer that the backend is not registered
// is not an error.
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
		return fmt.Errorf("deregister backend: status %d", resp.StatusCode)
	}
	return nil
}

// SendLateAnnouncement sends an announcement without the leaving flag. After Leave, this simulates an
// announcement that was sent before Leave and delayed.
func (b *Backend) SendLateAnnouncement(ctx context.Context) error { return b.announce(ctx, false) }

// CaptureAnnouncement captures an announcement of the current state. The returned function sends
// it and may be called at any later time and more than once.
func (b *Backend) CaptureAnnouncement() (send func(ctx context.Context) error) {
	body := b.announcement(b.leaving.Load())
	return func(ctx context.Context) error { return b.sendAnnouncement(ctx, body) }
}

// StopAnnouncing stops the announcements. The backend continues to serve requests.
func (b *Backend) StopAnnouncing() {
	b.stop()
	<-b.done
}

// AnnounceLeaving reports once to the sidecar that the backend is leaving, by an announcement or
// by a deregistration. The caller must record the departure in the ledger.
func (b *Backend) AnnounceLeaving(ctx context.Context, deregister bool) error {
	if !deregister {
		b.leaving.Store(true)
		return b.announce(ctx, true)
	}
	return b.deregister(ctx)
}

// announceLoop announces the backend at each interval until ctx is done.
func (b *Backend) announceLoop(ctx context.Context) {
	defer close(b.done)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		b.announce(callCtx, b.leaving.Load())
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announcement returns the JSON body of an announcement of the current state.
func (b *Backend) announcement(leaving bool) []byte {
	fields := map[string]any{
		"instance": b.Instance, "service": b.Service, "address": b.Addr(), "locality": b.Zone,
		"capacity": b.Capacity, "leaving": leaving,
	}
	if b.Warmth > 0 {
		fields["warmup"] = map[string]any{"share": b.Warmth}
	}
	if b.CountsAnnouncements {
		fields["count"] = b.announcements.Add(1)
	}
	body, _ := json.Marshal(fields)
	return body
}

// announce sends one announcement.
func (b *Backend) announce(ctx context.Context, leaving bool) error {
	return b.sendAnnouncement(ctx, b.announcement(leaving))
}

// sendAnnouncement sends an announcement and stores the address for outgoing calls from the
// sidecar's reply.
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
		return fmt.Errorf("announce backend: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return err
	}
	b.outgoing.Store(reply.Outgoing)
	return nil
}

// serve handles a request: it records the run, sleeps for half of the work time, makes the inner
// calls, sleeps for the other half, and writes the answer.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	running := b.open.Add(1)
	defer b.open.Add(-1)
	for peak := b.Peak.Load(); running > peak && !b.Peak.CompareAndSwap(peak, running); peak = b.Peak.Load() {
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
	answer := deterministicBody(id+b.Instance, 200+int(running)*10)
	w.Header().Set(headerInstance, b.Instance)
	w.Header().Set(headerID, id)
	w.Header().Set(headerDigest, digest("", "", w.Header(), answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	w.Write(answer)
}

// writeGarbled writes nothing, an incomplete answer, or bytes that are not HTTP, and closes the
// connection.
func writeGarbled(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	io.WriteString(conn, []string{
		"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nonly this",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nonly", "\x00\xff not HTTP at all\r\n\r\n",
	}[rand.IntN(5)])
}

// innerCall sends an inner call of the named plan to the address for outgoing calls that the sidecar
// gave in its last reply. Before the first reply it does nothing.
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

// sleep blocks for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// matchPlan returns the first plan whose method and path prefix match a request.
func matchPlan(plans []RequestPlan, method, path string) (RequestPlan, bool) {
	for _, p := range plans {
		if p.Method == method && len(path) >= len(p.Prefix) && path[:len(p.Prefix)] == p.Prefix {
			return p, true
		}
	}
	return RequestPlan{}, false
}
