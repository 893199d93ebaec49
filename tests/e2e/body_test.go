package e2e

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Chunked bodies and trailers pass both ways unaltered.
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
		t.Errorf("the backend got %+v", s)
	}
	if want := (http.Header{"X-Sum": {"of both"}}); string(b) != "first, second" || !cmp.Equal(resp.Trailer, want) {
		t.Errorf("the client got %q, %v", b, resp.Trailer)
	}
}

// Bodies near the bound pass both ways; larger ones are rejected before they are read; and no more
// are accepted at a time than the memory for bodies allows.
func TestLargeBodies(t *testing.T) {
	t.Parallel()
	size := smallFleet()
	size.Machines, size.Backends = 2, nil
	f, ctx := newFleet(t, size)
	const most, held = 4 << 20, 3
	f.Sidecars[0].AddArgs("--max-body=4194304", "--body-memory=12582912")
	f.Sidecars[1].AddArgs("--max-body=4194304")
	must(t, f.Start(ctx))
	running, release := make(chan struct{}, 20), make(chan struct{})
	b, err := f.StartBackend(1, "surveys", "echo", 8000)
	must(t, err)
	b.Kill()
	b.Handle = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		running <- struct{}{}
		<-release
		w.Write(body)
	})
	must(t, b.Start(b.Addr()))
	must(t, f.AwaitServing(ctx, f.FirstRevision, 1))
	send := func(n int) (int, string, bool) {
		body := bytes.Repeat([]byte{byte(n)}, n)
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+f.RequestAddress(0)+"/surveys/x", bytes.NewReader(body))
		must(t, err)
		resp, err := f.HTTP.Do(req)
		if err != nil {
			t.Error(err)
			return 0, "", false
		}
		defer resp.Body.Close()
		back, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, resp.Header.Get(outcomeHeader) + resp.Header.Get("Retry-After"), bytes.Equal(back, body)
	}
	if status, outcome, _ := send(most + 1); status != 413 || outcome != "not-run" {
		t.Errorf("over the bound: %d %s", status, outcome)
	}
	var wg sync.WaitGroup
	for range held {
		wg.Go(func() {
			if status, _, same := send(most); status != 200 || !same {
				t.Errorf("at the bound: %d, the same %v", status, same)
			}
		})
	}
	for range held {
		<-running
	}
	for range 9 {
		if status, outcome, _ := send(most); status != 503 || outcome != "not-run1" {
			t.Errorf("with the memory full: %d %s", status, outcome)
		}
	}
	close(release)
	wg.Wait()
	must(t, awaitCondition(ctx, func(ctx context.Context) bool {
		var st struct {
			Held [2]int64 `json:"bodies_held"`
		}
		_, err := f.Sidecars[0].Get(ctx, "/v1/stats", &st)
		return err == nil && st.Held == [2]int64{}
	}))
	if status, _, same := send(most); status != 200 || !same {
		t.Errorf("afterwards: %d", status)
	}
}
