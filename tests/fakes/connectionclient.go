package fakes

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"curlewwalk/tests/ledger"
)

// ConnectionClient is a client that keeps its connection and uses it until it ends: it sends
// the next request as soon as the last one is answered, also while the process at the other
// end is stopping. It abandons some of its requests before they are answered.
type ConnectionClient struct {
	Name    string
	Zone    string
	Address string // where its sidecar takes requests
	Plans   []RequestPlan
	// AbandonRate is the share of requests that it abandons.
	AbandonRate float64
	// MaxPause is the longest time between an answer and the next request.
	MaxPause time.Duration
	Ledger   *ledger.Ledger
	// OnExchange, if set, gets each request once it has ended.
	OnExchange func(x Exchange)
	Rand       *rand.Rand

	sequence int
	conn     net.Conn
	reader   *bufio.Reader
	used     int // requests answered on the connection
}

// Ending is how a request ended for its client.
type Ending string

// The endings.
const (
	Answered    Ending = "answered" // by a backend
	Refused     Ending = "refused"  // by a sidecar
	Interrupted Ending = "cut"      // the connection ended without a complete answer
	Abandoned   Ending = "left"     // the client abandoned it
	Unsent      Ending = "unsent"   // nobody listened, or nothing of it was written
)

// Exchange is a request as its client saw it.
type Exchange struct {
	ID         string        `json:"request"`
	Plan       string        `json:"kind"`
	Addr       string        `json:"at"`
	Deadline   time.Duration `json:"-"`
	Idempotent bool          `json:"repeatable"`
	// Reused is set if the connection had carried another request before.
	Reused bool `json:"reused"`
	// SentAt is when sending began, FullySent when the last byte was written; zero if it
	// was not.
	SentAt    time.Time `json:"sent"`
	FullySent time.Time `json:"whole"`
	// EndedAt is when the answer was complete, the connection ended, or the client abandoned
	// the request.
	EndedAt time.Time `json:"ended"`
	Ending  Ending    `json:"end"`
	Status  int       `json:"status,omitempty"`
	// Outcome is that of an answer of the sidecar's own.
	Outcome         string `json:"outcome,omitempty"`
	ConnectionError string `json:"cut,omitempty"`
}

const (
	// reconnectDelay is how long the client waits before it connects again.
	reconnectDelay = 25 * time.Millisecond
	// answerGrace is how much longer than the deadline it waits for an answer.
	answerGrace = 10 * time.Second
)

// Run sends until ctx ends; the last request is waited for.
func (c *ConnectionClient) Run(ctx context.Context) {
	defer c.CloseConnection()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect(ctx) {
			sleep(ctx, reconnectDelay)
			continue
		}
		c.SendOnConnection(ctx, pickPlan(c.Plans, c.Rand.Float64()))
		if c.MaxPause > 0 {
			sleep(ctx, time.Duration(c.Rand.Int64N(int64(c.MaxPause))))
		}
	}
}

// Send sends one request, on the open connection or a new one; it returns the zero Exchange if
// nobody listens.
func (c *ConnectionClient) Send(ctx context.Context, p RequestPlan) Exchange {
	if c.conn == nil && !c.connect(ctx) {
		return Exchange{}
	}
	return c.SendOnConnection(ctx, p)
}

// connect opens a connection; false if nobody listens.
func (c *ConnectionClient) connect(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	return true
}

// CloseConnection closes the connection, if one is open.
func (c *ConnectionClient) CloseConnection() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// SendOnConnection sends one request on the open connection, and waits for the answer unless it
// abandons it.
func (c *ConnectionClient) SendOnConnection(ctx context.Context, p RequestPlan) Exchange {
	c.sequence++
	id := fmt.Sprintf("%s-%d", c.Name, c.sequence)
	req, sent := request{address: c.Address, plan: p, zone: c.Zone, id: id}.build(ctx)
	x := Exchange{ID: id, Plan: p.Name, Addr: c.Address, Deadline: p.Deadline, Idempotent: p.Idempotent, Reused: c.used > 0, SentAt: sent.At}
	c.Ledger.RecordSent(sent)
	var out bytes.Buffer
	req.Write(&out)
	c.exchange(&x, req, out.Bytes(), c.abandonAfter(p))
	x.EndedAt = time.Now()
	if x.Ending != Answered && x.Ending != Refused {
		c.CloseConnection()
	}
	c.report(x)
	return x
}

// abandonAfter draws after how long the client abandons a request; zero if it does not.
func (c *ConnectionClient) abandonAfter(p RequestPlan) time.Duration {
	if c.Rand.Float64() >= c.AbandonRate {
		return 0
	}
	return time.Millisecond + time.Duration(c.Rand.Int64N(int64(p.LatencyTarget)))
}

// exchange writes a request, reads its answer, and records how it ended. With a positive
// abandonAfter the client abandons it then, if there is no answer yet.
func (c *ConnectionClient) exchange(x *Exchange, req *http.Request, out []byte, abandonAfter time.Duration) {
	until := x.SentAt.Add(x.Deadline + answerGrace)
	if abandonAfter > 0 {
		until = x.SentAt.Add(abandonAfter)
	}
	c.conn.SetDeadline(until)
	if n, err := c.conn.Write(out); err != nil {
		c.recordInterrupted(x, err, abandonAfter > 0)
		if n == 0 {
			x.Ending = Unsent
		}
		return
	}
	x.FullySent = time.Now()
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		c.recordInterrupted(x, err, abandonAfter > 0)
		return
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		c.recordInterrupted(x, err, abandonAfter > 0)
		return
	}
	c.used++
	x.Status, x.Outcome = resp.StatusCode, resp.Header.Get(headerOutcome)
	x.Ending = Answered
	if x.Outcome != "" {
		x.Ending = Refused
	}
	a := ledger.Answered{ID: x.ID, Status: x.Status, Outcome: x.Outcome, At: time.Now()}
	if x.Outcome == "" {
		a.Mismatch = checkAnswer(x.ID, resp, body)
	}
	c.Ledger.RecordAnswer(a)
	if resp.Close {
		c.CloseConnection()
	}
}

// recordInterrupted records that a connection ended, or was abandoned, before the answer was
// complete.
func (c *ConnectionClient) recordInterrupted(x *Exchange, err error, mayAbandon bool) {
	if mayAbandon && errors.Is(err, os.ErrDeadlineExceeded) {
		x.Ending = Abandoned
		c.abandon()
		return
	}
	x.Ending, x.ConnectionError = Interrupted, err.Error()
	c.Ledger.RecordAnswer(ledger.Answered{ID: x.ID, Outcome: ledger.OutcomeInterrupted, ConnectionError: x.Plan + " " + x.ConnectionError, At: time.Now()})
}

// abandon closes the connection in one of the ways in which clients do.
func (c *ConnectionClient) abandon() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.Rand.IntN(2) == 0 {
		tcp.SetLinger(0) // a reset
	}
	c.CloseConnection()
}

// report passes an exchange on.
func (c *ConnectionClient) report(x Exchange) {
	if c.OnExchange != nil {
		c.OnExchange(x)
	}
}
