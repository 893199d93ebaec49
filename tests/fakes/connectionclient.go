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
	"net/url"
	"os"
	"time"

	"curlewwalk/tests/ledger"
)

// ConnectionClient is a client that keeps its connection and uses it until that ends: it sends the
// next request the moment the last has its answer, also while the process at the other side
// is stopping. Some of its requests it leaves before they are answered.
type ConnectionClient struct {
	Name  string
	Zone  string
	Addr  string // the sidecar's requests address
	Plans []RequestPlan
	// AbandonRate is the share of requests that it leaves.
	AbandonRate float64
	// MaxPause is the longest time between an answer and the next request.
	MaxPause time.Duration
	Ledger   *ledger.Ledger
	// OnExchange hears of each request once it has ended.
	OnExchange func(x Exchange)
	Rand       *rand.Rand

	sequence int
	conn     net.Conn
	reader   *bufio.Reader
	used     int // requests answered on the connection
}

// Ending is how a request ended for its client.
type Ending string

// The ends.
const (
	Answered    Ending = "answered" // by a backend
	Refused     Ending = "refused"  // by a sidecar, in its own words
	Interrupted Ending = "cut"      // the connection ended without a whole answer
	Abandoned   Ending = "left"     // the client left
	Unsent      Ending = "unsent"   // nobody listened, or nothing of it was taken
)

// Exchange is a request as its client saw it.
type Exchange struct {
	ID       string        `json:"request"`
	Plan     string        `json:"kind"`
	Addr     string        `json:"at"`
	Deadline time.Duration `json:"-"`
	// Idempotent tells that it may run more than once.
	Idempotent bool `json:"repeatable"`
	// Reused tells that its connection had carried another request before.
	Reused bool `json:"reused"`
	// SentAt is when it was begun to be sent, Whole when its last byte had gone; zero if
	// it has not.
	SentAt    time.Time `json:"sent"`
	FullySent time.Time `json:"whole"`
	// EndedAt is when its answer was whole, its connection ended, or its client left.
	EndedAt time.Time `json:"ended"`
	Ending  Ending    `json:"end"`
	Status  int       `json:"status,omitempty"`
	// Outcome is the sidecar's word in an answer of its own.
	Outcome         string `json:"outcome,omitempty"`
	ConnectionError string `json:"cut,omitempty"`
}

// reconnectDelay is how long it waits before it connects again to where nobody listens.
const reconnectDelay = 25 * time.Millisecond

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

// Send sends one request, on the connection that is open or a new one; the zero Exchange if
// nobody listens.
func (c *ConnectionClient) Send(ctx context.Context, p RequestPlan) Exchange {
	if c.conn == nil && !c.connect(ctx) {
		return Exchange{}
	}
	return c.SendOnConnection(ctx, p)
}

func (c *ConnectionClient) connect(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.Addr)
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

// SendOnConnection sends one request on the connection and waits for its answer, unless it is left.
func (c *ConnectionClient) SendOnConnection(ctx context.Context, p RequestPlan) Exchange {
	c.sequence++
	id := fmt.Sprintf("%s-%d", c.Name, c.sequence)
	body := deterministicBody("inquiry "+id, p.BodySize)
	uri := p.Prefix + "item/a%2Fb?id=" + url.QueryEscape(id)
	req, err := http.NewRequestWithContext(ctx, p.Method, "http://"+c.Addr+uri, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set(headerID, id)
	req.Header.Set("X-Proof-Extra", "kept as it is")
	req.Header.Set("Curlewwalk-Caller", "a forged name")
	x := Exchange{ID: id, Plan: p.Name, Addr: c.Addr, Deadline: p.Deadline, Idempotent: p.Idempotent, Reused: c.used > 0, SentAt: time.Now()}
	c.Ledger.RecordSent(ledger.Sent{ID: id, Service: p.Service, Zone: c.Zone, Digest: digest(p.Method, uri, req.Header, body), Idempotent: p.Idempotent, At: x.SentAt})
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

// abandonAfter is when the client leaves, if it does before its time is over; zero if not.
func (c *ConnectionClient) abandonAfter(p RequestPlan) time.Duration {
	if c.Rand.Float64() >= c.AbandonRate {
		return 0
	}
	return time.Millisecond + time.Duration(c.Rand.Int64N(int64(p.LatencyTarget)))
}

// answerGrace is how much longer than a request's deadline a client waits for its answer.
const answerGrace = 10 * time.Second

// exchange writes a request, reads its answer, and tells how it ended. With patience the
// client leaves then, if it has no answer yet.
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
	x.Status, x.Outcome = resp.StatusCode, resp.Header.Get("Curlewwalk-Outcome")
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

// recordInterrupted tells of a connection that ended, or was left, before there was a whole answer.
func (c *ConnectionClient) recordInterrupted(x *Exchange, err error, mayAbandon bool) {
	if mayAbandon && errors.Is(err, os.ErrDeadlineExceeded) {
		x.Ending = Abandoned
		c.abandon()
		return
	}
	x.Ending, x.ConnectionError = Interrupted, err.Error()
	c.Ledger.RecordAnswer(ledger.Answered{ID: x.ID, Outcome: "cut", ConnectionError: x.Plan + " " + x.ConnectionError, At: time.Now()})
}

// abandon closes the connection in one of the ways in which clients do.
func (c *ConnectionClient) abandon() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.Rand.IntN(2) == 0 {
		tcp.SetLinger(0) // a reset
	}
	c.CloseConnection()
}

func (c *ConnectionClient) report(x Exchange) {
	if c.OnExchange != nil {
		c.OnExchange(x)
	}
}
