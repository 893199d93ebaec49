package proxy

import (
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

	"github.com/rotisserie/eris"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
)

// The reasons why a backend's response cannot be forwarded. The texts are sent to clients as
// reasons.
var (
	errResponseMismatched = eris.New("backend response belongs to another request")
	errResponseForged     = eris.New("backend response failed verification")
	errSwitchedProtocols  = eris.New("backend switched protocols")
	errNoFinalResponse    = eris.New("backend sent too many interim (1xx) responses")
	errNoResponseLength   = eris.New("backend response has neither Content-Length nor chunked encoding")
	errResponseTooLarge   = eris.New("backend response body exceeds the size limit")
	errResponseIncomplete = eris.New("backend response body is incomplete")
)

// The reasons why an attempt is known not to have run although it was written.
const (
	misroutedReason = "another instance has the address"
	declinedReason  = "declined by the backend"
)

// readResponse reads the attempt's response. idleTimeout is how long the connection may be idle
// afterwards, or zero if the connection must be closed.
func (x *backendExchange) readResponse(ctx context.Context) (response AttemptResponse, idleTimeout time.Duration) {
	for mismatched := 0; ; {
		resp, failed := x.nextResponse(ctx)
		if resp == nil {
			return failed, 0
		}
		switch x.inbound.Dialect.ClassifyResponse(x.attempt, resp.StatusCode, resp.Header) {
		case ResponseDeclined:
			return x.readDeclined(ctx, resp)
		case ResponseMisrouted:
			x.misrouted = true
			return AttemptResponse{Outcome: routing.NotRun, Reason: misroutedReason, ReachedBackend: true}, 0
		case ResponseMismatched:
			// The late response to an earlier request may precede the attempt's own response.
			if mismatched++; !x.skipResponse(resp, mismatched) {
				return unknownOutcome(ctx, errResponseMismatched), 0
			}
			continue
		case ResponseForged:
			return unknownOutcome(ctx, errResponseForged), 0
		}
		response, idleTimeout = x.readOwn(ctx, resp)
		if mismatched > 0 {
			idleTimeout = 0 // further responses to earlier requests may follow
		}
		return response, idleTimeout
	}
}

// nextResponse reads the head of the next response that is not informational (1xx). If there is
// none, resp is nil, and failed is the reply to the attempt.
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
			return nil, unknownOutcome(ctx, errSwitchedProtocols)
		case resp.StatusCode >= 200:
			return resp, AttemptResponse{}
		}
	}
	return nil, unknownOutcome(ctx, errNoFinalResponse)
}

// readHead reads the head of the next response.
func (x *backendExchange) readHead() (*http.Response, error) {
	if _, err := x.conn.reader.Peek(1); err != nil {
		return nil, err
	}
	return http.ReadResponse(x.conn.reader, x.req)
}

// readDeclined reads the rest of a response that declines the attempt. The head alone proves that
// the attempt has not run. The rest only determines whether the connection can be kept.
func (x *backendExchange) readDeclined(ctx context.Context, resp *http.Response) (response AttemptResponse, idleTimeout time.Duration) {
	x.conn.SetReadDeadline(earlier(deadline(ctx), time.Now().Add(declinedBodyTimeout)))
	_, _, err := x.readBody(resp)
	return AttemptResponse{Outcome: routing.NotRun, Reason: declinedReason, ReachedBackend: true}, idleTimeoutAfter(resp, err)
}

// skipResponse reads a response to another request to its end. mismatched is the number of such
// responses so far, including this one. skipResponse returns false if the attempt's own response
// cannot be identified in the data that follows. On a connection that has carried a HEAD request,
// it is unknown whether the skipped response has a body, so the data that follows may be that body.
func (x *backendExchange) skipResponse(resp *http.Response, mismatched int) bool {
	_, _, err := x.readBody(resp)
	return !(err != nil || mismatched > maxMismatched || resp.Close || x.conn.carriedHead)
}

// readOwn reads the rest of the attempt's own response.
func (x *backendExchange) readOwn(ctx context.Context, resp *http.Response) (response AttemptResponse, idleTimeout time.Duration) {
	body, trailer, err := x.readBody(resp)
	if err != nil {
		return unknownOutcome(ctx, err), 0
	}
	header := endToEnd(resp.Header)
	if x.attempt.Method == http.MethodHead && resp.Header.Get("Content-Length") != "" {
		header["Content-Length"] = resp.Header["Content-Length"]
	}
	header.Del(HeaderOutcome) // only a sidecar may set it
	return AttemptResponse{Outcome: routing.Answered, Status: resp.StatusCode, Header: header, Trailer: endToEnd(trailer), Body: body}, idleTimeoutAfter(resp, nil)
}

// readBody reads the complete body of a response, and its trailer.
func (x *backendExchange) readBody(resp *http.Response) (body []byte, trailer http.Header, err error) {
	maxBody := x.inbound.Bodies.MaxBody
	switch {
	case x.attempt.Method == http.MethodHead:
		return []byte{}, resp.Trailer, nil
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		// Such a body ends when the connection closes, so it cannot be distinguished from one that
		// a failing backend truncated.
		return nil, nil, errNoResponseLength
	case resp.ContentLength > maxBody:
		return nil, nil, errResponseTooLarge
	}
	buffer := bytes.NewBuffer(make([]byte, 0, max(bytes.MinRead, min(resp.ContentLength+bytes.MinRead, maxInitialBuffer))))
	_, err = buffer.ReadFrom(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		return nil, nil, errResponseIncomplete
	case int64(buffer.Len()) > maxBody:
		return nil, nil, errResponseTooLarge
	}
	return buffer.Bytes(), resp.Trailer, nil
}

// idleTimeoutAfter returns how long a connection may be idle after a response, or zero if it must
// be closed. err is the error of reading the response's body. The result is half of the timeout in
// the backend's Keep-Alive header, and at most maxIdleTime.
func idleTimeoutAfter(resp *http.Response, err error) time.Duration {
	if err != nil || resp.Close || !resp.ProtoAtLeast(1, 1) {
		return 0
	}
	for _, line := range resp.Header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			seconds, err := strconv.ParseUint(value, 10, 16)
			if err != nil {
				return 0
			}
			return min(maxIdleTime, time.Duration(seconds)*time.Second/2)
		}
	}
	return maxIdleTime
}

// unknownOutcome returns the reply to an attempt whose response cannot be forwarded. The reason is
// err, or why ctx has ended if it has.
func unknownOutcome(ctx context.Context, err error) AttemptResponse {
	reason := err.Error()
	if ctx.Err() != nil {
		reason = string(rejectionFor(ctx))
	}
	return AttemptResponse{Outcome: routing.Unknown, Reason: reason}
}

// connectionLost returns the reply to an attempt whose connection failed or could not be opened.
// The outcome is Unknown. forward changes it to NotRun if no byte was written.
func connectionLost(ctx context.Context, err error) AttemptResponse {
	reason, end := "backend: "+rootCause(err), deadline(ctx)
	switch {
	case ctx.Err() != nil:
		reason = string(rejectionFor(ctx))
	case !end.IsZero() && errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(end):
		reason = string(endpoints.DeadlineExpired)
	}
	return AttemptResponse{Outcome: routing.Unknown, Reason: reason}
}

// rootCause returns the text of the innermost error that err wraps.
func rootCause(err error) string {
	for next := err; next != nil; next = errors.Unwrap(next) {
		err = next
	}
	return err.Error()
}

// earlier returns the earlier of two times. A zero a is ignored.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
