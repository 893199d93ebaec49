package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// newBackendRequest rebuilds the caller's request for the backend at addr. net/http writes it with
// the same request target, and adds no headers except those that state the length of the body.
func newBackendRequest(ctx context.Context, addr string, attempt *Attempt) *http.Request {
	req := &http.Request{
		Method:     attempt.Method,
		URL:        requestTargetURL(addr, attempt.URI),
		Host:       attempt.Host,
		Header:     attempt.Header.Clone(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // otherwise net/http adds its own
	}
	if len(attempt.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(attempt.Body))
		req.ContentLength = int64(len(attempt.Body))
	}
	if len(attempt.Trailer) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(attempt.Body))
		req.ContentLength, req.Trailer = -1, attempt.Trailer // a trailer requires a chunked body
	}
	return req.WithContext(ctx)
}
