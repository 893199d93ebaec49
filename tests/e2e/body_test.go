package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

// TestTrailers checks that chunked bodies and trailers reach the other end unaltered, in both
// directions.
func TestTrailers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	type seen struct {
		body    string
		length  int64
		trailer http.Header
	}
	got := make(chan seen, 1)
	r.backend(1, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		got <- seen{string(b), q.ContentLength, q.Trailer}
		w.Header().Set("Trailer", "X-Sum")
		io.WriteString(w, "first")
		w.(http.Flusher).Flush()
		io.WriteString(w, ", second")
		w.Header().Set("X-Sum", "of both")
	}))
	req, err := http.NewRequestWithContext(r.ctx, "POST", "http://"+r.RequestAddress(0)+"/once/", io.MultiReader(strings.NewReader("good "), strings.NewReader("day")))
	must(t, err)
	req.Trailer = http.Header{"X-Check": {"a", "b"}}
	resp, err := r.HTTP.Do(req)
	must(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must(t, err)
	s := receive(r, got)
	if s.body != "good day" || s.length != -1 || !cmp.Equal(s.trailer, req.Trailer) {
		t.Errorf("the backend got %+v, want a chunked body \"good day\" with the client's trailers", s)
	}
	if want := (http.Header{"X-Sum": {"of both"}}); string(b) != "first, second" || !cmp.Equal(resp.Trailer, want) {
		t.Errorf("the client got %q with trailers %v, want \"first, second\" with the backend's trailers", b, resp.Trailer)
	}
}

const (
	// maxBody is the body size limit in TestLargeBodies, in bytes.
	maxBody = 4 << 20
	// bodiesInMemory is the number of bodies of maxBody bytes that fit into a node's memory for
	// bodies.
	bodiesInMemory = 3
)

// echoFleet is a fleet of two machines. Its backend, on machine 1, reports each request on running,
// and returns the request's body after a receive from release succeeds.
type echoFleet struct {
	*fleet.Fleet
	t                *testing.T
	ctx              context.Context
	running, release chan struct{}
}

// newEchoFleet starts an echo fleet whose sidecars limit the size of bodies, and whose outbound
// sidecar also limits the memory for bodies.
func newEchoFleet(t *testing.T) *echoFleet {
	t.Helper()
	size := smallFleet()
	size.Machines, size.Backends = 2, nil
	f, ctx := newFleet(t, size)
	e := &echoFleet{Fleet: f, t: t, ctx: ctx, running: make(chan struct{}, 20), release: make(chan struct{})}
	f.Sidecars[0].AddArgs(fmt.Sprintf("--max-body=%d", maxBody), fmt.Sprintf("--body-memory=%d", bodiesInMemory*maxBody))
	f.Sidecars[1].AddArgs(fmt.Sprintf("--max-body=%d", maxBody))
	must(t, f.Start(ctx))
	b, err := f.StartBackend(1, "surveys", "echo", 8000)
	must(t, err)
	b.Kill()
	b.Handle = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		e.running <- struct{}{}
		<-e.release
		w.Write(body)
	})
	must(t, b.Start(b.Addr()))
	must(t, f.AwaitServing(ctx, f.FirstRevision, 1))
	return e
}

// send sends a body of n bytes. outcome is the outcome header followed by the seconds of Retry-After.
// same reports whether the response contains the body that was sent.
func (e *echoFleet) send(n int) (status int, outcome string, same bool) {
	body := bytes.Repeat([]byte{byte(n)}, n)
	req, err := http.NewRequestWithContext(e.ctx, "POST", "http://"+e.RequestAddress(0)+"/surveys/x", bytes.NewReader(body))
	if err != nil {
		e.t.Error(err)
		return 0, "", false
	}
	resp, err := e.HTTP.Do(req)
	if err != nil {
		e.t.Error(err)
		return 0, "", false
	}
	defer resp.Body.Close()
	got, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(outcomeHeader) + resp.Header.Get("Retry-After"), bytes.Equal(got, body)
}

// TestLargeBodies checks the limits on bodies. Bodies at the size limit pass in both directions.
// Larger bodies are rejected before they are read. A sidecar accepts no more bodies at a time than fit
// into its memory for bodies, and frees that memory afterwards.
func TestLargeBodies(t *testing.T) {
	t.Parallel()
	e := newEchoFleet(t)
	if status, outcome, _ := e.send(maxBody + 1); status != http.StatusRequestEntityTooLarge || outcome != ledger.OutcomeNotRun {
		t.Errorf("body over the size limit: got %d %s, want 413 not-run", status, outcome)
	}
	var wg sync.WaitGroup
	for range bodiesInMemory {
		wg.Go(func() {
			if status, _, same := e.send(maxBody); status != http.StatusOK || !same {
				t.Errorf("body at the size limit: got %d, body returned %v; want 200, true", status, same)
			}
		})
	}
	for range bodiesInMemory {
		<-e.running
	}
	for range 9 {
		if status, outcome, _ := e.send(maxBody); status != http.StatusServiceUnavailable || outcome != ledger.OutcomeNotRun+"1" {
			t.Errorf("body with the memory for bodies full: got %d %s, want 503 not-run, followed by 1 for Retry-After", status, outcome)
		}
	}
	close(e.release)
	wg.Wait()
	must(t, awaitCondition(e.ctx, func(ctx context.Context) bool {
		var st struct {
			BodiesInMemory [2]int64 `json:"bodies_held"`
		}
		_, err := e.Sidecars[0].Get(ctx, "/v1/stats", &st)
		return err == nil && st.BodiesInMemory == [2]int64{}
	}))
	if status, _, same := e.send(maxBody); status != http.StatusOK || !same {
		t.Errorf("after the memory for bodies was freed: got %d, want 200 and the same body", status)
	}
}
