package transport

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// A peer that reads nothing blocks a connection while a long frame is written to it. A call
// still returns when its context ends, and a second call on the connection is reported as not
// delivered within a bounded time.
func TestPeerThatReadsNothing(t *testing.T) {
	ctx, actors := setup(t)
	begun := make(chan struct{})
	addr := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		r.ReadByte()
		close(begun)
		<-ctx.Done()
	})
	client := NewClient(actors, Hello{Version: ProtocolVersion}, nil)
	actors.Go(ctx, "client", client.Run)
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
	response := client.Call(ctx, addr, RequestTraffic, "small", 1)
	if took := time.Since(begin); response.Delivery != NotDelivered || took > 1500*time.Millisecond {
		t.Errorf("second call: got delivery %v after %v, want NotDelivered within 1.5 s", response.Delivery, took)
	}
	if took := <-first; took > 1500*time.Millisecond {
		t.Errorf("first call with a timeout of 400 ms returned after %v, want within 1.5 s", took)
	}
}

// A response whose transmission takes longer than idleTimeout does not end the connection while
// its bytes keep arriving.
func TestSlowResponse(t *testing.T) {
	ctx, actors := setup(t)
	addr := startPeer(t, func(conn net.Conn, r *bufio.Reader) {
		m, ok := readMessage(r)
		if !ok {
			return
		}
		m.Body, _ = msgpack.Marshal(make([]byte, 4000))
		frame := frameOf(t, m)
		tick := time.NewTicker(idleTimeout / 10)
		defer tick.Stop()
		for len(frame) > 0 {
			n := min(300, len(frame))
			if _, err := conn.Write(frame[:n]); err != nil {
				return
			}
			frame = frame[n:]
			<-tick.C
		}
	})
	connection := dialPeer(t, ctx, actors, addr)
	if r := connection.Call(ctx, "slow", 1); r.Delivery != Answered {
		t.Errorf("got delivery %v, want Answered", r.Delivery)
	}
}

// The detector counts only time in which this process could have received data. Otherwise a
// process that was delayed itself, so that its checks run late, would end connections to healthy
// peers. A peer that sends nothing still times out after a bounded number of checks.
func TestIdleDetector(t *testing.T) {
	now := time.Now()
	check := func(detector *idleDetector, after time.Duration, bytesRead uint64) bool {
		now = now.Add(after)
		return detector.check(now, bytesRead)
	}
	var detector idleDetector
	detector.reset(now, 5)
	if check(&detector, 10*idleTimeout, 5) {
		t.Error("one late check timed the peer out, want no time-out")
	}
	if check(&detector, pingInterval, 6) || detector.idle != 0 {
		t.Error("bytes that arrived did not reset the idle time")
	}
	checks := 0
	for !check(&detector, pingInterval, 6) {
		checks++
	}
	if checks+1 != int(idleTimeout/pingInterval) {
		t.Errorf("idle peer timed out after %d checks, want idleTimeout/pingInterval", checks+1)
	}
	detector.reset(now, 6)
	for checks = 0; !check(&detector, 3*pingInterval, 6); checks++ {
	}
	if checks > int(idleTimeout/pingInterval) {
		t.Errorf("idle peer with late checks passed %d checks before it timed out, want at most idleTimeout/pingInterval", checks)
	}
}

// A response that arrives after its caller has stopped waiting is discarded. The other callers
// on the connection receive their own responses, whatever the order in which these arrive.
func TestLateResponses(t *testing.T) {
	ctx, actors := setup(t)
	const calls = 40
	received := make(chan bool, calls+1)
	addr := startPeer(t, func(conn net.Conn, r *bufio.Reader) {
		var unanswered []message
		for {
			m, ok := readMessage(r)
			if !ok {
				return
			}
			var e echoMessage
			if msgpack.Unmarshal(m.Body, &e) != nil {
				continue
			}
			unanswered = append(unanswered, m)
			received <- true
			if e.Text != "answer all" {
				continue
			}
			slices.Reverse(unanswered) // answer the newest call first
			for _, m := range unanswered {
				conn.Write(frameOf(t, m))
			}
			unanswered = nil
		}
	})
	connection := dialPeer(t, ctx, actors, addr)
	var abandoned, waiting sync.WaitGroup
	for i := range calls {
		group := &waiting
		if i%2 == 0 {
			group = &abandoned
		}
		group.Go(func() {
			callCtx, cancel := ctx, context.CancelFunc(func() {})
			if i%2 == 0 {
				callCtx, cancel = context.WithTimeout(ctx, 50*time.Millisecond)
			}
			defer cancel()
			text := fmt.Sprint("call ", i)
			var e echoMessage
			switch r := connection.Call(callCtx, "echo", echoMessage{Text: text}); {
			case i%2 == 0 && r.Delivery == Answered, i%2 == 1 && (!r.Decode(&e) || e.Text != text):
				t.Errorf("call %d got %+v %+v, want its own text if odd, no answer if even", i, r, e)
			}
		})
	}
	for range calls {
		<-received
	}
	abandoned.Wait()
	var e echoMessage
	if r := connection.Call(ctx, "echo", echoMessage{Text: "answer all"}); !r.Decode(&e) || e.Text != "answer all" {
		t.Errorf("got %+v %+v, want text \"answer all\"", r, e)
	}
	waiting.Wait()
	// When the response to this call arrives, all earlier responses have arrived.
	if r := connection.Call(ctx, "echo", echoMessage{Text: "answer all"}); r.Delivery != Answered {
		t.Errorf("last call got %+v, want delivery Answered", r)
	}
	if connection.counters.Snapshot()[kindAbandoned].Responses != calls/2 {
		t.Errorf("got counts %+v, want half of the calls counted as abandoned", connection.counters.Snapshot())
	}
}

// A duplicate response ends the connection and is not passed to another call. The other pending
// call returns with DeliveryUnknown.
func TestDuplicateResponse(t *testing.T) {
	ctx, actors := setup(t)
	addr := startPeer(t, func(conn net.Conn, r *bufio.Reader) {
		var responses []byte
		for range 2 {
			m, ok := readMessage(r)
			if !ok {
				return
			}
			if len(responses) == 0 {
				responses = bytes.Repeat(frameOf(t, m), 2)
			}
		}
		conn.Write(responses)
	})
	connection := dialPeer(t, ctx, actors, addr)
	deliveries := make(chan Delivery, 2)
	for i := range 2 {
		actors.Go(ctx, "call", func(ctx context.Context) {
			var e echoMessage
			text := fmt.Sprint(i)
			r := connection.Call(ctx, "echo", echoMessage{Text: text})
			if r.Delivery == Answered && (!r.Decode(&e) || e.Text != text) {
				t.Errorf("call %d got %+v, want its own text", i, e)
			}
			deliveries <- r.Delivery
		})
	}
	if a, b := <-deliveries, <-deliveries; a+b != Answered+DeliveryUnknown {
		t.Errorf("got deliveries %v and %v, want one Answered and one DeliveryUnknown", a, b)
	}
	<-connection.Done()
}

// A request is not sent on a connection whose peer did not answer a ping in time. It returns at
// once with NotDelivered, so that the caller can try another node. Calls that were already sent
// keep waiting.
func TestSuspectedPeer(t *testing.T) {
	ctx, actors := setup(t)
	var received atomic.Int64
	addr := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		for {
			m, ok := readMessage(r)
			if !ok {
				return
			}
			if m.Kind == "request" {
				received.Add(1)
			}
		}
	})
	client := NewClient(actors, Hello{}, nil)
	actors.Go(ctx, "client", client.Run)
	type result struct {
		delivery Delivery
		took     time.Duration
	}
	results := make(chan result, 99)
	sent := 0
	call := func() {
		sent++
		actors.Go(ctx, "call", func(ctx context.Context) {
			begin := time.Now()
			r := client.Call(ctx, addr, RequestTraffic, "request", 1)
			results <- result{r.Delivery, time.Since(begin)}
		})
	}
	tick := time.NewTicker(pingInterval / 5)
	defer tick.Stop()
	for begin := time.Now(); time.Since(begin) < idleTimeout-pingInterval; <-tick.C {
		call()
	}
	notDelivered := int64(0)
	for range sent {
		switch r := <-results; {
		case r.delivery == NotDelivered && r.took < pingInterval:
			notDelivered++
		case r.delivery != DeliveryUnknown:
			t.Errorf("got %+v, want NotDelivered at once or DeliveryUnknown", r)
		}
	}
	if notDelivered == 0 || received.Load() != int64(sent)-notDelivered {
		t.Errorf("of %d calls, %d were not delivered and the peer received %d, want some not delivered and all others received", sent, notDelivered, received.Load())
	}
}
