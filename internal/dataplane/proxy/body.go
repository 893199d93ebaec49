package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"

	"curlewwalk/internal/dataplane/routing"
)

// reserveBody reserves memory for a request's body, which the caller must release. It returns a
// rejection if there is not enough memory. For a body of unknown length it reserves the maximum
// body size.
func (o *Outbound) reserveBody(r *http.Request) (size int64, rejection *routing.Failure) {
	size = r.ContentLength
	if size < 0 {
		size = o.Bodies.MaxBody
	}
	if size > o.Bodies.MaxBody {
		return 0, bodyTooLarge(o.Bodies.MaxBody)
	}
	if !o.Bodies.Reserve(size) {
		return 0, rejectTooManyBodies
	}
	return size, nil
}

// readBody reads a request's complete body, or returns the reason why the body cannot be read.
func (o *Outbound) readBody(r *http.Request) (body []byte, rejection *routing.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, o.Bodies.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bodyTooLarge(o.Bodies.MaxBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, rejectBodyTimeout
	case err != nil:
		return nil, rejectBodyIncomplete
	}
	return body, nil
}
