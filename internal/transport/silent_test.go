package transport

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// A caller whose time is over is answered at once, also while the connection is held up by
// a peer that takes nothing; and a call that waits for such a connection is told in time
// that it was not sent.
func TestPeerThatTakesNothing(t *testing.T) {
	ctx, l := begin(t)
	begun := make(chan struct{})
	addr := silentPeer(t, func(_ net.Conn, r *bufio.Reader) {
		r.ReadByte()
		close(begun)
		<-ctx.Done()
	})
	n := NewNet(l, Greeting{Version: Version}, nil)
	l.Go(ctx, "net", n.Run)
	first := make(chan time.Duration, 1)
	l.Go(ctx, "first", func(ctx context.Context) {
		short, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		begin := time.Now()
		n.Call(short, addr, Traffic, "large", make([]byte, 32<<20))
		first <- time.Since(begin)
	})
	<-begun
	begin := time.Now()
	r := n.Call(ctx, addr, Traffic, "small", 1)
	if took := time.Since(begin); r.Fate != Unsent || took > 1500*time.Millisecond {
		t.Errorf("the second got fate %v after %v", r.Fate, took)
	}
	if took := <-first; took > 1500*time.Millisecond {
		t.Errorf("the first, of 400 ms, was held for %v", took)
	}
}

// silentPeer greets each that connects and leaves the rest to do.
func silentPeer(t *testing.T, do func(conn net.Conn, r *bufio.Reader)) (addr string) {
	t.Helper()
	ln := listen(t)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufReader(conn)
				exchange(conn, r, Greeting{}, uncounted, uncounted)
				do(conn, r)
			}()
		}
	}()
	return ln.Addr().String()
}

// An answer that takes longer than a silence may, but comes all the while, is waited
// for: its connection is not broken under it.
func TestSlowAnswer(t *testing.T) {
	ctx, l := begin(t)
	addr := silentPeer(t, func(conn net.Conn, r *bufio.Reader) {
		b, err := readFrame(r, MaxFrame)
		if err != nil {
			return
		}
		_, _, m, _ := decode(b)
		m.Body, _ = msgpack.Marshal(make([]byte, 4000))
		out, _ := encode(trace.Span{}, m)
		tick := time.NewTicker(breakAfter / 10)
		defer tick.Stop()
		for len(out) > 0 {
			n := min(300, len(out))
			if _, err := conn.Write(out[:n]); err != nil {
				return
			}
			out = out[n:]
			<-tick.C
		}
	})
	c, err := Dial(ctx, l, nil, addr, Greeting{})
	if err != nil {
		t.Fatal(err)
	}
	if r := c.Call(ctx, "slow", 1); r.Fate != Answered {
		t.Errorf("fate %v", r.Fate)
	}
}

// Only a silence that this process could have heard counts: one that was held up itself,
// so that its looks come late, breaks no connection by that. A peer that stays silent is
// given up in bounded time all the same.
func TestSilence(t *testing.T) {
	now := time.Now()
	look := func(s *silence, after time.Duration, heard uint64) bool {
		now = now.Add(after)
		return s.look(now, heard)
	}
	var s silence
	s.begin(now, 5)
	if look(&s, 10*breakAfter, 5) {
		t.Error("one late look ended it")
	}
	if look(&s, pingAfter, 6) || s.silent != 0 {
		t.Error("what was heard does not count")
	}
	looks := 0
	for !look(&s, pingAfter, 6) {
		looks++
	}
	if looks+1 != int(breakAfter/pingAfter) {
		t.Errorf("a silent peer was given up after %d looks", looks+1)
	}
	s.begin(now, 6)
	for looks = 0; !look(&s, 3*pingAfter, 6); looks++ {
	}
	if looks > int(breakAfter/pingAfter) {
		t.Errorf("with late looks it took %d", looks)
	}
}

// A response that comes after its caller has given up is nobody's: the callers after it
// get their own, on the same connection, in whatever order the responses come.
func TestLateResponses(t *testing.T) {
	ctx, l := begin(t)
	const calls = 40
	came := make(chan bool, calls+1)
	addr := silentPeer(t, func(conn net.Conn, r *bufio.Reader) {
		var held []message
		for {
			b, err := readFrame(r, MaxFrame)
			if err != nil {
				return
			}
			_, _, m, _ := decode(b)
			var e echo
			if msgpack.Unmarshal(m.Body, &e) != nil {
				continue
			}
			held = append(held, m)
			came <- true
			if e.Text != "answer all" {
				continue
			}
			slices.Reverse(held) // the newest first
			for _, m := range held {
				out, _ := encode(trace.Span{}, m)
				conn.Write(out)
			}
			held = nil
		}
	})
	c, err := Dial(ctx, l, nil, addr, Greeting{})
	if err != nil {
		t.Fatal(err)
	}
	var impatient, patient sync.WaitGroup
	for i := range calls {
		group := &patient
		if i%2 == 0 {
			group = &impatient
		}
		group.Go(func() {
			call, cancel := ctx, context.CancelFunc(func() {})
			if i%2 == 0 {
				call, cancel = context.WithTimeout(ctx, 50*time.Millisecond)
			}
			defer cancel()
			text := fmt.Sprint("call ", i)
			var e echo
			switch r := c.Call(call, "echo", echo{Text: text}); {
			case i%2 == 0 && r.Fate == Answered, i%2 == 1 && (!r.Into(&e) || e.Text != text):
				t.Errorf("call %d got %+v %+v", i, r, e)
			}
		})
	}
	for range calls {
		<-came
	}
	impatient.Wait()
	var e echo
	if r := c.Call(ctx, "echo", echo{Text: "answer all"}); !r.Into(&e) || e.Text != "answer all" {
		t.Errorf("%+v %+v", r, e)
	}
	patient.Wait()
	// Behind this one, all responses of before have come.
	if r := c.Call(ctx, "echo", echo{Text: "answer all"}); r.Fate != Answered {
		t.Errorf("%+v", r)
	}
	if c.count.Read()[kindDropped].Responses != calls/2 {
		t.Errorf("%+v", c.count.Read())
	}
}

// A response that comes twice breaks the connection: what is still open is lost, and nobody
// gets it.
func TestDoubledResponse(t *testing.T) {
	ctx, l := begin(t)
	addr := silentPeer(t, func(conn net.Conn, r *bufio.Reader) {
		var all []byte
		for range 2 {
			b, err := readFrame(r, MaxFrame)
			if err != nil {
				return
			}
			if _, _, m, _ := decode(b); len(all) == 0 {
				out, _ := encode(trace.Span{}, m)
				all = append(append(all, out...), out...)
			}
		}
		conn.Write(all)
	})
	c, err := Dial(ctx, l, nil, addr, Greeting{})
	if err != nil {
		t.Fatal(err)
	}
	fates := make(chan Fate, 2)
	for i := range 2 {
		l.Go(ctx, "call", func(ctx context.Context) {
			var e echo
			text := fmt.Sprint(i)
			r := c.Call(ctx, "echo", echo{Text: text})
			if r.Fate == Answered && (!r.Into(&e) || e.Text != text) {
				t.Errorf("call %d got %+v", i, e)
			}
			fates <- r.Fate
		})
	}
	if a, b := <-fates, <-fates; a+b != Answered+Lost {
		t.Errorf("fates %v and %v", a, b)
	}
	<-c.Broken()
}

// A request is not begun with on a connection whose peer has left a ping unanswered: it is
// surely unsent, at once, and its caller can turn elsewhere. Other calls wait on.
func TestSuspectedPeer(t *testing.T) {
	ctx, l := begin(t)
	var seen atomic.Int64
	addr := silentPeer(t, func(_ net.Conn, r *bufio.Reader) {
		for {
			b, err := readFrame(r, MaxFrame)
			if err != nil {
				return
			}
			if _, _, m, _ := decode(b); m.Kind == "inquiry" {
				seen.Add(1)
			}
		}
	})
	n := NewNet(l, Greeting{}, nil)
	l.Go(ctx, "net", n.Run)
	type result struct {
		fate Fate
		took time.Duration
	}
	results := make(chan result, 99)
	sent := 0
	call := func() {
		sent++
		l.Go(ctx, "call", func(ctx context.Context) {
			begin := time.Now()
			r := n.Call(ctx, addr, Traffic, "inquiry", 1)
			results <- result{r.Fate, time.Since(begin)}
		})
	}
	tick := time.NewTicker(pingAfter / 5)
	defer tick.Stop()
	for begin := time.Now(); time.Since(begin) < breakAfter-pingAfter; <-tick.C {
		call()
	}
	unsent := int64(0)
	for range sent {
		switch r := <-results; {
		case r.fate == Unsent && r.took < pingAfter:
			unsent++
		case r.fate != Lost:
			t.Errorf("%+v", r)
		}
	}
	if unsent == 0 || seen.Load() != int64(sent)-unsent {
		t.Errorf("of %d calls %d were unsent, and the peer saw %d", sent, unsent, seen.Load())
	}
}
