package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/trace"
)

// told is a dialect of backends that name the request they answer.
type told struct{ Plain }

func (told) Address(h http.Header, attempt *Attempt, _ time.Duration) { h.Set("Ask", attempt.ID) }

func (told) Judge(attempt *Attempt, _ int, h http.Header) Judgement {
	switch {
	case h.Get("For") != attempt.ID:
		return Stray
	case h.Get("Declined") != "":
		return Declined
	case h.Get("Elsewhere") != "":
		return Elsewhere
	}
	return Fair
}

// visit is one request at a stand-in backend.
type visit struct {
	*http.Request
	id string
	// conn and n count connections at the backend, and requests on this one.
	conn, n int64
	w       net.Conn
}

// say answers a visit, in the name of a request.
func (v visit) say(id, body string, header ...string) {
	io.WriteString(v.w, answerTo(id, body, header...))
}

func answerTo(id, body string, header ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nFor: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, strings.Join(append(header, ""), "\r\n"), len(body), body)
}

// bench is a far side with one stand-in backend, which answers by speak until that
// is false; then it closes.
type bench struct {
	far   *Far
	entry endpoints.Endpoint
	opens atomic.Int64
	mu    sync.Mutex
	ran   map[string]int
	// asked counts the request targets that came.
	asked map[string]int
	// ends tells of each of its connections that it is over.
	ends chan bool
}

func newBench(t testing.TB, speak func(v visit) bool) *bench {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{ran: map[string]int{}, asked: map[string]int{}, ends: make(chan bool, 1<<16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := b.opens.Add(1)
			go func() {
				defer func() { c.Close(); b.ends <- true }()
				in := bufio.NewReader(c)
				for k := int64(1); ; k++ {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					id := req.Header.Get("Ask")
					b.mu.Lock()
					b.ran[id]++
					b.asked[req.RequestURI]++
					b.mu.Unlock()
					if !speak(visit{req, id, n, k, c}) {
						return
					}
					io.Copy(io.Discard, req.Body)
				}
			}()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	l := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	f := NewFar(ctx, l)
	f.Bodies, f.Dialect = &Bodies{Most: 1 << 20, All: 1 << 30}, told{}
	f.links.stands = func(place) bool { return true }
	table, _ := routing.NewTable(config.ControlState{})
	f.Table = func() *routing.Table { return table }
	b.far = f
	b.entry = endpoints.Endpoint{Backend: membership.Backend{Instance: "a", Address: ln.Addr().String(), Capacity: 8}}
	t.Cleanup(func() {
		cancel()
		ln.Close()
		<-l.Idle()
		l.Stop()
	})
	return b
}

var attempts atomic.Int64

// put puts an attempt to the backend, as carry does.
func (b *bench) put(attempt Attempt, check func() endpoints.Rejection) AttemptResponse {
	if attempt.ID == "" {
		attempt.ID = fmt.Sprint("leg-", attempts.Add(1))
	}
	if attempt.Method == "" {
		attempt.Method = "POST"
	}
	if attempt.Left == 0 {
		attempt.Left = 5 * time.Second
	}
	attempt.Host, attempt.URI = "desk", "/x"
	ctx, cancel := context.WithTimeout(context.Background(), attempt.Left)
	defer cancel()
	if check == nil {
		check = func() endpoints.Rejection { return endpoints.Admitted }
	}
	g := &guard{check: check}
	rc := b.far.exchange(ctx, b.entry, &attempt, trace.Root(), g)
	if rc.Fate == routing.Unknown && g.shut() {
		rc.Fate = routing.NotRun
	}
	return rc
}

// good puts an attempt that must be answered by its own answer.
func (b *bench) good(t *testing.T, attempt Attempt) {
	t.Helper()
	attempt.ID = fmt.Sprint("leg-", attempts.Add(1))
	rc := b.put(attempt, nil)
	if rc.Fate != routing.Answered || rc.Header.Get("For") != attempt.ID {
		t.Fatalf("%s got %v %q, answer to %q", attempt.ID, rc.Fate, rc.Reason, rc.Header.Get("For"))
	}
}

// link is the one idle link.
func (b *bench) link(t *testing.T) *link {
	t.Helper()
	b.far.links.mu.Lock()
	defer b.far.links.mu.Unlock()
	for _, s := range b.far.links.shelves {
		if len(s.idle) == 1 && s.used == 0 {
			return s.idle[0]
		}
	}
	t.Fatal("there is not one idle link")
	return nil
}

func plainly(v visit) bool { io.Copy(io.Discard, v.Body); v.say(v.id, "ok"); return true }
