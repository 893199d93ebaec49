package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"

	"curlewwalk/internal/dataplane/routing"
)

// reserveBody reserves memory for a request's body, which must be released, or tells why there
// is none. A body of unknown length takes as much as the largest one.
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

// readBody reads a request's complete body, or tells why it can't be read.
func (o *Outbound) readBody(r *http.Request) (body []byte, rejection *routing.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, o.Bodies.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bodyTooLarge(o.Bodies.MaxBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, rejectBodyTimeout
	case err != nil:
		return nil, rejectBodyCutShort
	}
	return body, nil
}
