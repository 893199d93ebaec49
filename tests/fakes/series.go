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

// Series is a client that keeps its connection and uses it until that ends: it sends the
// next request the moment the last has its answer, also while the process at the other side
// is stopping. Some of its requests it leaves before they are answered.
type Series struct {
	Name  string
	Zone  string
	Addr  string // the sidecar's requests address
	Plans []Plan
	// Leaves is the share of requests that it leaves.
	Leaves float64
	// Pause is the longest time between an answer and the next request.
	Pause  time.Duration
	Ledger *ledger.Ledger
	// Saw hears of each request once it has ended.
	Saw  func(x Exchange)
	Rand *rand.Rand

	serial int
	conn   net.Conn
	in     *bufio.Reader
	used   int // requests answered on the connection
}

// End is how a request ended for its client.
type End string

// The ends.
const (
	EndAnswered End = "answered" // by a backend
	EndRefused  End = "refused"  // by a sidecar, in its own words
	EndCut      End = "cut"      // the connection ended without a whole answer
	EndLeft     End = "left"     // the client left
	EndUnsent   End = "unsent"   // nobody listened, or nothing of it was taken
)

// Exchange is a request as its client saw it.
type Exchange struct {
	ID       string        `json:"request"`
	Plan     string        `json:"kind"`
	Addr     string        `json:"at"`
	Deadline time.Duration `json:"-"`
	// Repeatable tells that it may run more than once.
	Repeatable bool `json:"repeatable"`
	// Reused tells that its connection had carried another request before.
	Reused bool `json:"reused"`
	// Sent is when it was begun to be sent, Whole when its last byte had gone; zero if
	// it has not.
	Sent  time.Time `json:"sent"`
	Whole time.Time `json:"whole"`
	// Ended is when its answer was whole, its connection ended, or its client left.
	Ended  time.Time `json:"ended"`
	End    End       `json:"end"`
	Status int       `json:"status,omitempty"`
	// Outcome is the sidecar's word in an answer of its own.
	Outcome string `json:"outcome,omitempty"`
	Cut     string `json:"cut,omitempty"`
}

// connectAgain is how long it waits before it connects again to where nobody listens.
const connectAgain = 25 * time.Millisecond

// Run sends until ctx ends; the last request is waited for.
func (s *Series) Run(ctx context.Context) {
	defer s.HangUp()
	for ctx.Err() == nil {
		if s.conn == nil && !s.connect(ctx) {
			wait(ctx, connectAgain)
			continue
		}
		s.One(ctx, pick(s.Plans, s.Rand.Float64()))
		if s.Pause > 0 {
			wait(ctx, time.Duration(s.Rand.Int64N(int64(s.Pause))))
		}
	}
}

// Ask sends one request, on the connection that is open or a new one; the zero Exchange if
// nobody listens.
func (s *Series) Ask(ctx context.Context, p Plan) Exchange {
	if s.conn == nil && !s.connect(ctx) {
		return Exchange{}
	}
	return s.One(ctx, p)
}

func (s *Series) connect(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", s.Addr)
	if err != nil {
		return false
	}
	s.conn, s.in, s.used = conn, bufio.NewReader(conn), 0
	return true
}

// HangUp closes the connection, if one is open.
func (s *Series) HangUp() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}

// One sends one request on the connection and waits for its answer, unless it is left.
func (s *Series) One(ctx context.Context, p Plan) Exchange {
	s.serial++
	id := fmt.Sprintf("%s-%d", s.Name, s.serial)
	body := filler("inquiry "+id, p.Body)
	uri := p.Prefix + "item/a%2Fb?id=" + url.QueryEscape(id)
	req, err := http.NewRequestWithContext(ctx, p.Method, "http://"+s.Addr+uri, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set(headerID, id)
	req.Header.Set("X-Proof-Extra", "kept as it is")
	req.Header.Set("Curlewwalk-Caller", "a forged name")
	x := Exchange{ID: id, Plan: p.Name, Addr: s.Addr, Deadline: p.Deadline, Repeatable: p.Repeatable, Reused: s.used > 0, Sent: time.Now()}
	s.Ledger.Sent(ledger.Sent{ID: id, Service: p.Service, Zone: s.Zone, Digest: digest(p.Method, uri, req.Header, body), Repeatable: p.Repeatable, At: x.Sent})
	var out bytes.Buffer
	req.Write(&out)
	s.exchange(&x, req, out.Bytes(), s.patience(p))
	x.Ended = time.Now()
	if x.End != EndAnswered && x.End != EndRefused {
		s.HangUp()
	}
	s.tell(x)
	return x
}

// patience is when the client leaves, if it does before its time is over; zero if not.
func (s *Series) patience(p Plan) time.Duration {
	if s.Rand.Float64() >= s.Leaves {
		return 0
	}
	return time.Millisecond + time.Duration(s.Rand.Int64N(int64(p.Aim)))
}

// answerWait is how much longer than a request's deadline a client waits for its answer.
const answerWait = 10 * time.Second

// exchange writes a request, reads its answer, and tells how it ended. With patience the
// client leaves then, if it has no answer yet.
func (s *Series) exchange(x *Exchange, req *http.Request, out []byte, patience time.Duration) {
	until := x.Sent.Add(x.Deadline + answerWait)
	if patience > 0 {
		until = x.Sent.Add(patience)
	}
	s.conn.SetDeadline(until)
	if n, err := s.conn.Write(out); err != nil {
		s.ended(x, err, patience > 0)
		if n == 0 {
			x.End = EndUnsent
		}
		return
	}
	x.Whole = time.Now()
	resp, err := http.ReadResponse(s.in, req)
	if err != nil {
		s.ended(x, err, patience > 0)
		return
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		s.ended(x, err, patience > 0)
		return
	}
	s.used++
	x.Status, x.Outcome = resp.StatusCode, resp.Header.Get("Curlewwalk-Outcome")
	x.End = EndAnswered
	if x.Outcome != "" {
		x.End = EndRefused
	}
	a := ledger.Answered{ID: x.ID, Status: x.Status, Outcome: x.Outcome, At: time.Now()}
	if x.Outcome == "" {
		a.Wrong = wrong(x.ID, resp, body)
	}
	s.Ledger.Answered(a)
	if resp.Close {
		s.HangUp()
	}
}

// ended tells of a connection that ended, or was left, before there was a whole answer.
func (s *Series) ended(x *Exchange, err error, leaves bool) {
	if leaves && errors.Is(err, os.ErrDeadlineExceeded) {
		x.End = EndLeft
		s.leave()
		return
	}
	x.End, x.Cut = EndCut, err.Error()
	s.Ledger.Answered(ledger.Answered{ID: x.ID, Outcome: "cut", Cut: x.Plan + " " + x.Cut, At: time.Now()})
}

// leave closes the connection in one of the ways in which clients do.
func (s *Series) leave() {
	if tcp, ok := s.conn.(*net.TCPConn); ok && s.Rand.IntN(2) == 0 {
		tcp.SetLinger(0) // a reset
	}
	s.HangUp()
}

func (s *Series) tell(x Exchange) {
	if s.Saw != nil {
		s.Saw(x)
	}
}
