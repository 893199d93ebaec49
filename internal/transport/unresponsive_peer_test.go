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

// A caller whose time is over is answered at once, also while the peer, which reads nothing,
// holds up the connection; and a call that waits for such a connection learns in time that
// it was not delivered.
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
		t.Errorf("the second: delivery %v after %v", response.Delivery, took)
	}
	if took := <-first; took > 1500*time.Millisecond {
		t.Errorf("the first, of 400 ms, waited for %v", took)
	}
}

// A response that takes longer than idleTimeout, but comes all the while, is waited for: its
// connection is not broken.
func TestSlowAnswer(t *testing.T) {
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
		t.Errorf("delivery %v", r.Delivery)
	}
}

// Only time in which this process could have received something counts: one that was held
// up itself, so that its checks come late, breaks no connection by that. A peer that sends
// nothing is given up in bounded time all the same.
func TestIdleDetector(t *testing.T) {
	now := time.Now()
	check := func(detector *idleDetector, after time.Duration, bytesRead uint64) bool {
		now = now.Add(after)
		return detector.check(now, bytesRead)
	}
	var detector idleDetector
	detector.reset(now, 5)
	if check(&detector, 10*idleTimeout, 5) {
		t.Error("one late check ended it")
	}
	if check(&detector, pingInterval, 6) || detector.idle != 0 {
		t.Error("what was received does not count")
	}
	checks := 0
	for !check(&detector, pingInterval, 6) {
		checks++
	}
	if checks+1 != int(idleTimeout/pingInterval) {
		t.Errorf("an idle peer was given up after %d checks", checks+1)
	}
	detector.reset(now, 6)
	for checks = 0; !check(&detector, 3*pingInterval, 6); checks++ {
	}
	if checks > int(idleTimeout/pingInterval) {
		t.Errorf("with late checks it took %d", checks)
	}
}

// A response that comes after its caller has given up is nobody's: the callers after it
// get their own, on the same connection, in whatever order the responses come.
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
			slices.Reverse(unanswered) // the newest first
			for _, m := range unanswered {
				conn.Write(frameOf(t, m))
			}
			unanswered = nil
		}
	})
	connection := dialPeer(t, ctx, actors, addr)
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
			switch r := connection.Call(call, "echo", echoMessage{Text: text}); {
			case i%2 == 0 && r.Delivery == Answered, i%2 == 1 && (!r.Decode(&e) || e.Text != text):
				t.Errorf("call %d got %+v %+v", i, r, e)
			}
		})
	}
	for range calls {
		<-received
	}
	impatient.Wait()
	var e echoMessage
	if r := connection.Call(ctx, "echo", echoMessage{Text: "answer all"}); !r.Decode(&e) || e.Text != "answer all" {
		t.Errorf("%+v %+v", r, e)
	}
	patient.Wait()
	// Behind this one, all responses of before have come.
	if r := connection.Call(ctx, "echo", echoMessage{Text: "answer all"}); r.Delivery != Answered {
		t.Errorf("%+v", r)
	}
	if connection.counters.Snapshot()[kindAbandoned].Responses != calls/2 {
		t.Errorf("%+v", connection.counters.Snapshot())
	}
}

// A response that comes twice breaks the connection, and no other call gets it: whether that
// was delivered is not known.
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
				t.Errorf("call %d got %+v", i, e)
			}
			deliveries <- r.Delivery
		})
	}
	if a, b := <-deliveries, <-deliveries; a+b != Answered+DeliveryUnknown {
		t.Errorf("deliveries %v and %v", a, b)
	}
	<-connection.Done()
}

// A request is not sent on a connection whose peer has left a ping unanswered: it is
// certainly not delivered, at once, and its caller can turn to another node. Calls that were
// sent go on waiting.
func TestSuspectedPeer(t *testing.T) {
	ctx, actors := setup(t)
	var seen atomic.Int64
	addr := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		for {
			m, ok := readMessage(r)
			if !ok {
				return
			}
			if m.Kind == "request" {
				seen.Add(1)
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
			t.Errorf("%+v", r)
		}
	}
	if notDelivered == 0 || seen.Load() != int64(sent)-notDelivered {
		t.Errorf("of %d calls %d were not delivered, and the peer saw %d", sent, notDelivered, seen.Load())
	}
}
