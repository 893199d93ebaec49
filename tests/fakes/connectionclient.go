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

// ConnectionClient is a closed-loop client with one persistent connection. It sends each request
// after the answer to the previous one. It uses the connection until it ends, also while the
// process at the other end is stopping, and then connects again. It abandons some of its requests
// before they are answered.
type ConnectionClient struct {
	Name    string
	Zone    string
	Address string // address for requests at the sidecar of the machine
	Plans   []RequestPlan
	// AbandonRate is the fraction of requests for which the client sets a time after which it
	// abandons them.
	AbandonRate float64
	// MaxPause is the upper bound of the random pause between an answer and the next request.
	MaxPause time.Duration
	Ledger   *ledger.Ledger
	// OnExchange, if set, is called with each exchange when it has ended.
	OnExchange func(x Exchange)
	Rand       *rand.Rand

	sequence int
	conn     net.Conn
	reader   *bufio.Reader
	used     int // number of answers received on the connection
}

// Ending is the result of a request as the client observed it.
type Ending string

// Values of Ending.
const (
	Answered    Ending = "answered" // a backend answered
	Refused     Ending = "refused"  // a sidecar answered by itself
	Interrupted Ending = "cut"      // the connection ended without a complete answer
	Abandoned   Ending = "left"     // the client abandoned the request
	Unsent      Ending = "unsent"   // the connection failed before any byte of the request was written
)

// Exchange is the client's record of one request and its result.
type Exchange struct {
	ID         string        `json:"request"`
	Plan       string        `json:"kind"`
	Addr       string        `json:"at"`
	Deadline   time.Duration `json:"-"`
	Idempotent bool          `json:"repeatable"`
	// Reused reports whether the connection had carried an answered request before.
	Reused bool `json:"reused"`
	// SentAt is the time just before the first byte was written. FullySent is the time when the
	// last byte was written, or zero if the request was not written in full.
	SentAt    time.Time `json:"sent"`
	FullySent time.Time `json:"whole"`
	// EndedAt is the time when the answer was complete, the connection ended, or the client
	// abandoned the request.
	EndedAt time.Time `json:"ended"`
	Ending  Ending    `json:"end"`
	Status  int       `json:"status,omitempty"`
	// Outcome is the outcome header of an answer that the sidecar made itself.
	Outcome         string `json:"outcome,omitempty"`
	ConnectionError string `json:"cut,omitempty"`
}

const (
	// reconnectDelay is the delay before another attempt to connect.
	reconnectDelay = 25 * time.Millisecond
	// answerGrace is the time beyond the request's deadline for which the client waits for an
	// answer.
	answerGrace = 10 * time.Second
)

// Run sends requests until ctx is done. It returns after the last request has ended.
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

// Send sends one request on the open connection, or on a new one if none is open. It returns the
// zero Exchange if it cannot connect.
func (c *ConnectionClient) Send(ctx context.Context, p RequestPlan) Exchange {
	if c.conn == nil && !c.connect(ctx) {
		return Exchange{}
	}
	return c.SendOnConnection(ctx, p)
}

// connect opens a connection and reports whether that succeeded.
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

// SendOnConnection sends one request on the open connection and waits until it is answered,
// interrupted or abandoned. A connection must be open.
func (c *ConnectionClient) SendOnConnection(ctx context.Context, p RequestPlan) Exchange {
	c.sequence++
	id := fmt.Sprintf("%s-%d", c.Name, c.sequence)
	req, sent := request{address: c.Address, plan: p, zone: c.Zone, id: id}.build(ctx)
	x := Exchange{ID: id, Plan: p.Name, Addr: c.Address, Deadline: p.Deadline, Idempotent: p.Idempotent, Reused: c.used > 0, SentAt: sent.At}
	c.Ledger.RecordSent(sent)
	var buffer bytes.Buffer
	req.Write(&buffer)
	c.exchange(&x, req, buffer.Bytes(), c.abandonAfter(p))
	x.EndedAt = time.Now()
	if x.Ending != Answered && x.Ending != Refused {
		c.CloseConnection()
	}
	c.report(x)
	return x
}

// abandonAfter draws the time after which the client abandons a request. Zero means that the client
// does not abandon it.
func (c *ConnectionClient) abandonAfter(p RequestPlan) time.Duration {
	if c.Rand.Float64() >= c.AbandonRate {
		return 0
	}
	return time.Millisecond + time.Duration(c.Rand.Int64N(int64(p.LatencyTarget)))
}

// exchange writes a request, reads the answer, and records the result. If abandonAfter is positive
// and there is no complete answer after that time, the client abandons the request.
func (c *ConnectionClient) exchange(x *Exchange, req *http.Request, message []byte, abandonAfter time.Duration) {
	deadline := x.SentAt.Add(x.Deadline + answerGrace)
	if abandonAfter > 0 {
		deadline = x.SentAt.Add(abandonAfter)
	}
	c.conn.SetDeadline(deadline)
	if n, err := c.conn.Write(message); err != nil {
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

// recordInterrupted records that the connection ended, or the client abandoned the request, before
// the answer was complete.
func (c *ConnectionClient) recordInterrupted(x *Exchange, err error, mayAbandon bool) {
	if mayAbandon && errors.Is(err, os.ErrDeadlineExceeded) {
		x.Ending = Abandoned
		c.abandon()
		return
	}
	x.Ending, x.ConnectionError = Interrupted, err.Error()
	c.Ledger.RecordAnswer(ledger.Answered{ID: x.ID, Outcome: ledger.OutcomeInterrupted, ConnectionError: x.Plan + " " + x.ConnectionError, At: time.Now()})
}

// abandon closes the connection, at random either in order or with a reset, since real clients do
// both.
func (c *ConnectionClient) abandon() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.Rand.IntN(2) == 0 {
		tcp.SetLinger(0) // makes Close send a reset
	}
	c.CloseConnection()
}

// report calls OnExchange, if it is set.
func (c *ConnectionClient) report(x Exchange) {
	if c.OnExchange != nil {
		c.OnExchange(x)
	}
}
