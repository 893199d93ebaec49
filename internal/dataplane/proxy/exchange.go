package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/trace"
)

// misroutedReason is the reason of an attempt that another instance answered.
const misroutedReason = "another instance has the address"

// exchange puts the request to the backend and reads its whole answer. Where not a
// byte went on a link that was kept, it goes on a fresh one, past the guard again.
func (f *Inbound) exchange(ctx context.Context, e endpoints.Endpoint, attempt *Attempt, span trace.Span, g *writeGuard) AttemptResponse {
	most, idle := f.maxConnections(e), maxIdleNonIdempotent
	if attempt.Idempotent {
		idle = maxIdleTime
	}
	for {
		conn, err := f.pool.acquire(ctx, e, most, idle)
		if err != nil {
			return connectionLost(ctx, err)
		}
		req := backendRequest(ctx, e.Address, attempt)
		trace.WriteB3(req.Header, span)
		f.Dialect.SetBackendHeaders(req.Header, attempt, time.Until(deadline(ctx)))
		x := backendExchange{inbound: f, conn: conn, req: req, attempt: attempt, guard: g}
		// A link waits by its own deadline: this is how it hears of an end before that.
		heard := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
		again := conn.usedBefore
		conn.usedBefore = true
		conn.carriedHead = conn.carriedHead || attempt.Method == http.MethodHead
		response := x.run(ctx)
		if !heard() {
			conn.idleTimeout = 0 // its deadline may be changed at any moment from now on
		}
		if response.Reason == misroutedReason {
			f.pool.closeIdle(conn.address)
		}
		f.pool.release(conn, most)
		if !again || !x.nothingWritten {
			return response
		}
		idle = 0
	}
}

// backendExchange is one attempt on one link.
type backendExchange struct {
	inbound *Inbound
	conn    *backendConn
	req     *http.Request
	attempt *Attempt
	guard   *writeGuard
	// nothingWritten says that the link failed before a byte was taken.
	nothingWritten bool
}

// run writes the request and reads the answer. The link stays fit to be kept only if
// it is known to stand between two answers.
func (x *backendExchange) run(ctx context.Context) AttemptResponse {
	conn, idleTimeout := x.conn, x.conn.idleTimeout
	conn.idleTimeout = 0
	done := make(chan error, 1)
	write := func(context.Context) {
		err := x.write()
		if err != nil && !x.guard.written() {
			conn.SetReadDeadline(time.Now()) // there will be no answer
		}
		done <- err
	}
	if len(x.attempt.Body) <= inlineWriteLimit {
		write(ctx)
	} else {
		// What is long may be answered before it was read to its end.
		x.inbound.pool.launcher.Go(ctx, "inquiry-write", write)
	}
	response, idle := x.readResponse(ctx)
	var err error
	select {
	case err = <-done:
	default:
		conn.SetDeadline(time.Now()) // ends the write
		err = <-done
	}
	switch {
	case err == nil:
		conn.idleTimeout, conn.idleSince = idle, time.Now()
	case x.guard.written():
	case x.guard.refusal.Load() != nil:
		conn.idleTimeout = idleTimeout // as before
		response = connectionLost(ctx, err)
	default:
		x.nothingWritten = true
		response = connectionLost(ctx, err)
	}
	return response
}

// write writes the request: what is not long, at once.
func (x *backendExchange) write() error {
	out := bufio.NewWriterSize(guardedWriter{conn: x.conn.Conn, guard: x.guard}, headBufferSize+min(len(x.attempt.Body), inlineWriteLimit))
	if err := x.req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// readResponse reads the answer, and tells how long the link may then be idle.
func (x *backendExchange) readResponse(ctx context.Context) (response AttemptResponse, idle time.Duration) {
	for mismatched := 0; ; {
		resp, failed := x.nextResponse(ctx)
		if resp == nil {
			return failed, 0
		}
		switch x.inbound.Dialect.ClassifyResponse(x.attempt, resp.StatusCode, resp.Header) {
		case ResponseDeclined:
			return x.readDeclined(ctx, resp)
		case ResponseMisrouted:
			return AttemptResponse{Outcome: routing.NotRun, Reason: misroutedReason, ReachedBackend: true}, 0
		case ResponseMismatched:
			// It came late, in the place of the one that is due.
			if mismatched++; !x.skipResponse(resp, mismatched) {
				return unknownOutcome(ctx, "backend answered another inquiry"), 0
			}
			continue
		case ResponseForged:
			return unknownOutcome(ctx, "backend's answer claims what it can't"), 0
		}
		response, idle = x.readOwn(ctx, resp)
		if mismatched > 0 {
			idle = 0
		}
		return response, idle
	}
}

// nextResponse reads the head of the next answer that is not a 1xx one, or tells what is known
// without one.
func (x *backendExchange) nextResponse(ctx context.Context) (resp *http.Response, failed AttemptResponse) {
	for informational := 0; informational <= maxInformational; informational++ {
		x.conn.readLimit = maxHeadSize
		resp, err := x.readHead()
		if err != nil {
			return nil, connectionLost(ctx, err)
		}
		x.conn.readLimit = math.MaxInt64
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, unknownOutcome(ctx, "backend switched protocols")
		case resp.StatusCode >= 200:
			return resp, AttemptResponse{}
		}
	}
	return nil, unknownOutcome(ctx, "backend does not come to its answer")
}

// readDeclined reads what follows the head of an answer that declines. The head proves it; the
// rest only decides whether the link is kept.
func (x *backendExchange) readDeclined(ctx context.Context, resp *http.Response) (response AttemptResponse, idle time.Duration) {
	x.conn.SetReadDeadline(earlier(deadline(ctx), time.Now().Add(declinedBodyTimeout)))
	_, _, fault := x.readBody(resp)
	return AttemptResponse{Outcome: routing.NotRun, Reason: "declined by the backend", ReachedBackend: true}, idleTimeoutAfter(resp, fault)
}

// skipResponse reads an answer to another request to its end; false if the one that is due
// can't be told from what follows.
func (x *backendExchange) skipResponse(resp *http.Response, mismatched int) bool {
	_, _, fault := x.readBody(resp)
	return !(fault != "" || mismatched > maxMismatched || resp.Close || x.conn.carriedHead)
}

// readOwn reads the answer that is the attempt's own.
func (x *backendExchange) readOwn(ctx context.Context, resp *http.Response) (response AttemptResponse, idle time.Duration) {
	body, trailer, fault := x.readBody(resp)
	if fault != "" {
		return unknownOutcome(ctx, fault), 0
	}
	h := endToEnd(resp.Header)
	if x.attempt.Method == http.MethodHead && resp.Header.Get("Content-Length") != "" {
		h["Content-Length"] = resp.Header["Content-Length"]
	}
	h.Del(HeaderOutcome) // only ours may promise
	return AttemptResponse{Outcome: routing.Answered, Status: resp.StatusCode, Header: h, Trailer: endToEnd(trailer), Body: body}, idleTimeoutAfter(resp, "")
}

// unknownOutcome is what is known of an attempt whose answer can't be passed on.
func unknownOutcome(ctx context.Context, reason string) AttemptResponse {
	if ctx.Err() != nil {
		reason = string(refusalFor(ctx))
	}
	return AttemptResponse{Outcome: routing.Unknown, Reason: reason}
}

// readHead reads the head of the next answer.
func (x *backendExchange) readHead() (*http.Response, error) {
	if _, err := x.conn.reader.Peek(1); err != nil {
		return nil, err
	}
	return http.ReadResponse(x.conn.reader, x.req)
}

// readBody reads an answer's body and what follows it, or tells why it can't be had.
func (x *backendExchange) readBody(resp *http.Response) (body []byte, trailer http.Header, fault string) {
	most := x.inbound.Bodies.MaxBody
	switch {
	case x.attempt.Method == http.MethodHead:
		return []byte{}, resp.Trailer, ""
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		// Its end is only the connection's end, which a dying backend has too.
		return nil, nil, "backend's answer does not tell its length"
	case resp.ContentLength > most:
		return nil, nil, "backend's answer is too large"
	}
	b := bytes.NewBuffer(make([]byte, 0, max(bytes.MinRead, min(resp.ContentLength+bytes.MinRead, 1<<20))))
	_, err := b.ReadFrom(io.LimitReader(resp.Body, most+1))
	switch {
	case err != nil:
		return nil, nil, "backend's answer was cut short"
	case int64(b.Len()) > most:
		return nil, nil, "backend's answer is too large"
	}
	return b.Bytes(), resp.Trailer, ""
}

// idleTimeoutAfter is how long a link may be idle after an answer, if it is of more use.
func idleTimeoutAfter(resp *http.Response, fault string) time.Duration {
	if fault != "" || resp.Close || !resp.ProtoAtLeast(1, 1) {
		return 0
	}
	for _, line := range resp.Header["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			n, err := strconv.ParseUint(value, 10, 16)
			if err != nil {
				return 0
			}
			return min(maxIdleTime, time.Duration(n)*time.Second/2)
		}
	}
	return maxIdleTime
}

// connectionLost is what is known of an attempt whose link failed.
func connectionLost(ctx context.Context, err error) AttemptResponse {
	reason, end := "backend: "+rootCause(err), deadline(ctx)
	switch {
	case ctx.Err() != nil:
		reason = string(refusalFor(ctx))
	case !end.IsZero() && errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(end):
		reason = string(endpoints.DeadlineExpired)
	}
	return AttemptResponse{Outcome: routing.Unknown, Reason: reason}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// backendRequest rebuilds the client's request as it was.
func backendRequest(ctx context.Context, addr string, attempt *Attempt) *http.Request {
	req := &http.Request{Method: attempt.Method, URL: requestTargetURL(addr, attempt.URI), Host: attempt.Host, Header: attempt.Header.Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // net/http would add its own
	}
	if len(attempt.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(attempt.Body))
		req.ContentLength = int64(len(attempt.Body))
	}
	if len(attempt.Trailer) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(attempt.Body))
		req.ContentLength, req.Trailer = -1, attempt.Trailer // trailers come behind chunks only
	}
	return req.WithContext(ctx)
}

// rootCause is the innermost reason of a connection's error.
func rootCause(err error) string {
	for next := err; next != nil; next = errors.Unwrap(next) {
		err = next
	}
	return err.Error()
}
