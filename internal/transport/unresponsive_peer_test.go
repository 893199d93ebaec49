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
func TestPeerThatReadsNothing(t *testing.T) {
	ctx, actors := setup(t)
	begun := make(chan struct{})
	addr := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		r.ReadByte()
		close(begun)
		<-ctx.Done()
	})
	client := NewClient(actors, Hello{Version: ProtocolVersion}, nil)
	actors.Go(ctx, "net", client.Run)
	first := make(chan time.Duration, 1)
	actors.Go(ctx, "first", func(ctx context.Context) {
		short, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		begin := time.Now()
		client.Call(short, addr, RequestTraffic, "large", make([]byte, 32<<20))
		first <- time.Since(begin)
	})
	<-begun
	begin := time.Now()
	r := client.Call(ctx, addr, RequestTraffic, "small", 1)
	if took := time.Since(begin); r.Delivery != NotDelivered || took > 1500*time.Millisecond {
		t.Errorf("the second got fate %v after %v", r.Delivery, took)
	}
	if took := <-first; took > 1500*time.Millisecond {
		t.Errorf("the first, of 400 ms, was held for %v", took)
	}
}

// startPeer greets each that connects and leaves the rest to do.
func startPeer(t *testing.T, do func(conn net.Conn, r *bufio.Reader)) (addr string) {
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
				handshake(conn, r, Hello{}, discardCount, discardCount)
				do(conn, r)
			}()
		}
	}()
	return ln.Addr().String()
}

// An answer that takes longer than a silence may, but comes all the while, is waited
// for: its connection is not broken under it.
func TestSlowAnswer(t *testing.T) {
	ctx, actors := setup(t)
	addr := startPeer(t, func(conn net.Conn, r *bufio.Reader) {
		b, err := readFrame(r, MaxFrameSize)
		if err != nil {
			return
		}
		_, _, m, _ := decode(b)
		m.Body, _ = msgpack.Marshal(make([]byte, 4000))
		out, _ := encode(trace.Span{}, m)
		tick := time.NewTicker(idleTimeout / 10)
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
	c, err := Dial(ctx, actors, nil, addr, Hello{})
	if err != nil {
		t.Fatal(err)
	}
	if r := c.Call(ctx, "slow", 1); r.Delivery != Answered {
		t.Errorf("fate %v", r.Delivery)
	}
}

// Only a silence that this process could have heard counts: one that was held up itself,
// so that its looks come late, breaks no connection by that. A peer that stays silent is
// given up in bounded time all the same.
func TestIdleDetector(t *testing.T) {
	now := time.Now()
	look := func(detector *idleDetector, after time.Duration, heard uint64) bool {
		now = now.Add(after)
		return detector.check(now, heard)
	}
	var s idleDetector
	s.reset(now, 5)
	if look(&s, 10*idleTimeout, 5) {
		t.Error("one late look ended it")
	}
	if look(&s, pingInterval, 6) || s.idle != 0 {
		t.Error("what was heard does not count")
	}
	looks := 0
	for !look(&s, pingInterval, 6) {
		looks++
	}
	if looks+1 != int(idleTimeout/pingInterval) {
		t.Errorf("a silent peer was given up after %d looks", looks+1)
	}
	s.reset(now, 6)
	for looks = 0; !look(&s, 3*pingInterval, 6); looks++ {
	}
	if looks > int(idleTimeout/pingInterval) {
		t.Errorf("with late looks it took %d", looks)
	}
}

// A response that comes after its caller has given up is nobody's: the callers after it
// get their own, on the same connection, in whatever order the responses come.
func TestLateResponses(t *testing.T) {
	ctx, actors := setup(t)
	const calls = 40
	came := make(chan bool, calls+1)
	addr := startPeer(t, func(conn net.Conn, r *bufio.Reader) {
		var held []message
		for {
			b, err := readFrame(r, MaxFrameSize)
			if err != nil {
				return
			}
			_, _, m, _ := decode(b)
			var e echoMessage
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
	c, err := Dial(ctx, actors, nil, addr, Hello{})
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
			var e echoMessage
			switch r := c.Call(call, "echo", echoMessage{Text: text}); {
			case i%2 == 0 && r.Delivery == Answered, i%2 == 1 && (!r.Decode(&e) || e.Text != text):
				t.Errorf("call %d got %+v %+v", i, r, e)
			}
		})
	}
	for range calls {
		<-came
	}
	impatient.Wait()
	var e echoMessage
	if r := c.Call(ctx, "echo", echoMessage{Text: "answer all"}); !r.Decode(&e) || e.Text != "answer all" {
		t.Errorf("%+v %+v", r, e)
	}
	patient.Wait()
	// Behind this one, all responses of before have come.
	if r := c.Call(ctx, "echo", echoMessage{Text: "answer all"}); r.Delivery != Answered {
		t.Errorf("%+v", r)
	}
	if c.counters.Snapshot()[kindAbandoned].Responses != calls/2 {
		t.Errorf("%+v", c.counters.Snapshot())
	}
}

// A response that comes twice breaks the connection: what is still open is lost, and nobody
// gets it.
func TestDuplicateResponse(t *testing.T) {
	ctx, actors := setup(t)
	addr := startPeer(t, func(conn net.Conn, r *bufio.Reader) {
		var all []byte
		for range 2 {
			b, err := readFrame(r, MaxFrameSize)
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
	c, err := Dial(ctx, actors, nil, addr, Hello{})
	if err != nil {
		t.Fatal(err)
	}
	fates := make(chan Delivery, 2)
	for i := range 2 {
		actors.Go(ctx, "call", func(ctx context.Context) {
			var e echoMessage
			text := fmt.Sprint(i)
			r := c.Call(ctx, "echo", echoMessage{Text: text})
			if r.Delivery == Answered && (!r.Decode(&e) || e.Text != text) {
				t.Errorf("call %d got %+v", i, e)
			}
			fates <- r.Delivery
		})
	}
	if a, b := <-fates, <-fates; a+b != Answered+DeliveryUnknown {
		t.Errorf("fates %v and %v", a, b)
	}
	<-c.Done()
}

// A request is not begun with on a connection whose peer has left a ping unanswered: it is
// surely unsent, at once, and its caller can turn elsewhere. Other calls wait on.
func TestSuspectedPeer(t *testing.T) {
	ctx, actors := setup(t)
	var seen atomic.Int64
	addr := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		for {
			b, err := readFrame(r, MaxFrameSize)
			if err != nil {
				return
			}
			if _, _, m, _ := decode(b); m.Kind == "inquiry" {
				seen.Add(1)
			}
		}
	})
	client := NewClient(actors, Hello{}, nil)
	actors.Go(ctx, "net", client.Run)
	type result struct {
		fate Delivery
		took time.Duration
	}
	results := make(chan result, 99)
	sent := 0
	call := func() {
		sent++
		actors.Go(ctx, "call", func(ctx context.Context) {
			begin := time.Now()
			r := client.Call(ctx, addr, RequestTraffic, "inquiry", 1)
			results <- result{r.Delivery, time.Since(begin)}
		})
	}
	tick := time.NewTicker(pingInterval / 5)
	defer tick.Stop()
	for begin := time.Now(); time.Since(begin) < idleTimeout-pingInterval; <-tick.C {
		call()
	}
	unsent := int64(0)
	for range sent {
		switch r := <-results; {
		case r.fate == NotDelivered && r.took < pingInterval:
			unsent++
		case r.fate != DeliveryUnknown:
			t.Errorf("%+v", r)
		}
	}
	if unsent == 0 || seen.Load() != int64(sent)-unsent {
		t.Errorf("of %d calls %d were unsent, and the peer saw %d", sent, unsent, seen.Load())
	}
}
