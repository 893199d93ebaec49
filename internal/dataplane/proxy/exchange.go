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

// elsewhere is the reason of an attempt that another instance answered.
const elsewhere = "another instance has the address"

// exchange puts the request to the backend and reads its whole answer. Where not a
// byte went on a link that was kept, it goes on a fresh one, past the guard again.
func (f *Far) exchange(ctx context.Context, e endpoints.Endpoint, attempt *Attempt, span trace.Span, g *guard) AttemptResponse {
	most, idle := f.most(e), freshOnly
	if attempt.Repeatable {
		idle = keepFor
	}
	for {
		l, err := f.links.take(ctx, e, most, idle)
		if err != nil {
			return lost(ctx, err)
		}
		req := backendRequest(ctx, e.Address, attempt)
		trace.WriteB3(req.Header, span)
		f.Dialect.Address(req.Header, attempt, time.Until(deadline(ctx)))
		x := exchange{far: f, link: l, req: req, attempt: attempt, guard: g}
		// A link waits by its own deadline: this is how it hears of an end before that.
		heard := context.AfterFunc(ctx, func() { l.SetDeadline(time.Now()) })
		again := l.carried
		l.carried = true
		l.headed = l.headed || attempt.Method == http.MethodHead
		rc := x.run(ctx)
		if !heard() {
			l.keep = 0 // its deadline may be changed at any moment from now on
		}
		if rc.Reason == elsewhere {
			f.links.drop(l.at)
		}
		f.links.put(l, most)
		if !again || !x.unwritten {
			return rc
		}
		idle = 0
	}
}

// exchange is one attempt on one link.
type exchange struct {
	far     *Far
	link    *link
	req     *http.Request
	attempt *Attempt
	guard   *guard
	// unwritten says that the link failed before a byte was taken.
	unwritten bool
}

// run writes the request and reads the answer. The link stays fit to be kept only if
// it is known to stand between two answers.
func (x *exchange) run(ctx context.Context) AttemptResponse {
	l, fit := x.link, x.link.keep
	l.keep = 0
	done := make(chan error, 1)
	write := func(context.Context) {
		err := x.write()
		if err != nil && !x.guard.wrote() {
			l.SetReadDeadline(time.Now()) // there will be no answer
		}
		done <- err
	}
	if len(x.attempt.Body) <= straight {
		write(ctx)
	} else {
		// What is long may be answered before it was read to its end.
		x.far.links.launcher.Go(ctx, "inquiry-write", write)
	}
	rc, idle := x.answer(ctx)
	var err error
	select {
	case err = <-done:
	default:
		l.SetDeadline(time.Now()) // ends the write
		err = <-done
	}
	switch {
	case err == nil:
		l.keep, l.since = idle, time.Now()
	case x.guard.wrote():
	case x.guard.why.Load() != nil:
		l.keep = fit // as before
		rc = lost(ctx, err)
	default:
		x.unwritten = true
		rc = lost(ctx, err)
	}
	return rc
}

// write writes the request: what is not long, at once.
func (x *exchange) write() error {
	out := bufio.NewWriterSize(guarded{conn: x.link.Conn, g: x.guard}, roomForHead+min(len(x.attempt.Body), straight))
	if err := x.req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// answer reads the answer, and tells how long the link may then be idle.
func (x *exchange) answer(ctx context.Context) (rc AttemptResponse, idle time.Duration) {
	for strays := 0; ; {
		resp, failed := x.next(ctx)
		if resp == nil {
			return failed, 0
		}
		switch x.far.Dialect.Judge(x.attempt, resp.StatusCode, resp.Header) {
		case Declined:
			return x.declined(ctx, resp)
		case Elsewhere:
			return AttemptResponse{Fate: routing.NotRun, Reason: elsewhere, Reached: true}, 0
		case Stray:
			// It came late, in the place of the one that is due.
			if strays++; !x.passOver(resp, strays) {
				return unknown(ctx, "backend answered another inquiry"), 0
			}
			continue
		case False:
			return unknown(ctx, "backend's answer claims what it can't"), 0
		}
		rc, idle = x.own(ctx, resp)
		if strays > 0 {
			idle = 0
		}
		return rc, idle
	}
}

// next reads the head of the next answer that is not a 1xx one, or tells what is known
// without one.
func (x *exchange) next(ctx context.Context) (resp *http.Response, failed AttemptResponse) {
	for early := 0; early <= mostEarly; early++ {
		x.link.left = mostHead
		resp, err := x.head()
		if err != nil {
			return nil, lost(ctx, err)
		}
		x.link.left = math.MaxInt64
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, unknown(ctx, "backend switched protocols")
		case resp.StatusCode >= 200:
			return resp, AttemptResponse{}
		}
	}
	return nil, unknown(ctx, "backend does not come to its answer")
}

// declined reads what follows the head of an answer that declines. The head proves it; the
// rest only decides whether the link is kept.
func (x *exchange) declined(ctx context.Context, resp *http.Response) (rc AttemptResponse, idle time.Duration) {
	x.link.SetReadDeadline(earlier(deadline(ctx), time.Now().Add(restFor)))
	_, _, fault := x.whole(resp)
	return AttemptResponse{Fate: routing.NotRun, Reason: "declined by the backend", Reached: true}, keepAfter(resp, fault)
}

// passOver reads an answer to another request to its end; false if the one that is due
// can't be told from what follows.
func (x *exchange) passOver(resp *http.Response, strays int) bool {
	_, _, fault := x.whole(resp)
	return !(fault != "" || strays > mostStrays || resp.Close || x.link.headed)
}

// own reads the answer that is the attempt's own.
func (x *exchange) own(ctx context.Context, resp *http.Response) (rc AttemptResponse, idle time.Duration) {
	body, trailer, fault := x.whole(resp)
	if fault != "" {
		return unknown(ctx, fault), 0
	}
	h := endToEnd(resp.Header)
	if x.attempt.Method == http.MethodHead && resp.Header.Get("Content-Length") != "" {
		h["Content-Length"] = resp.Header["Content-Length"]
	}
	h.Del(HeaderOutcome) // only ours may promise
	return AttemptResponse{Fate: routing.Answered, Status: resp.StatusCode, Header: h, Trailer: endToEnd(trailer), Body: body}, keepAfter(resp, "")
}

// unknown is what is known of an attempt whose answer can't be passed on.
func unknown(ctx context.Context, reason string) AttemptResponse {
	if ctx.Err() != nil {
		reason = string(refusalOf(ctx))
	}
	return AttemptResponse{Fate: routing.Unknown, Reason: reason}
}

// head reads the head of the next answer.
func (x *exchange) head() (*http.Response, error) {
	if _, err := x.link.in.Peek(1); err != nil {
		return nil, err
	}
	return http.ReadResponse(x.link.in, x.req)
}

// whole reads an answer's body and what follows it, or tells why it can't be had.
func (x *exchange) whole(resp *http.Response) (body []byte, trailer http.Header, fault string) {
	most := x.far.Bodies.Most
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

// keepAfter is how long a link may be idle after an answer, if it is of more use.
func keepAfter(resp *http.Response, fault string) time.Duration {
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
			return min(keepFor, time.Duration(n)*time.Second/2)
		}
	}
	return keepFor
}

// lost is what is known of an attempt whose link failed.
func lost(ctx context.Context, err error) AttemptResponse {
	reason, end := "backend: "+cause(err), deadline(ctx)
	switch {
	case ctx.Err() != nil:
		reason = string(refusalOf(ctx))
	case !end.IsZero() && errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(end):
		reason = string(endpoints.DeadlineExpired)
	}
	return AttemptResponse{Fate: routing.Unknown, Reason: reason}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// backendRequest rebuilds the client's request as it was.
func backendRequest(ctx context.Context, addr string, attempt *Attempt) *http.Request {
	req := &http.Request{Method: attempt.Method, URL: target(addr, attempt.URI), Host: attempt.Host, Header: attempt.Header.Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
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

// cause is the innermost reason of a connection's error.
func cause(err error) string {
	for next := err; next != nil; next = errors.Unwrap(next) {
		err = next
	}
	return err.Error()
}
