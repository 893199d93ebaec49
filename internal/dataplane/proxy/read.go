package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// reserve takes room for a request's body, which must be given back, or tells why there is
// none.
func (n *Near) reserve(r *http.Request) (size int64, refusal *Response) {
	size = r.ContentLength
	if size < 0 {
		size = n.Bodies.Most // it will tell at its end
	}
	if size > n.Bodies.Most {
		return 0, n.tooLarge()
	}
	if !n.Bodies.Take(size) {
		return 0, n.refuse(http.StatusServiceUnavailable, "this node holds as many bodies as it can", time.Second)
	}
	return size, nil
}

// read reads a request's body whole, or tells why it is not gone on with.
func (n *Near) read(r *http.Request) (body []byte, refusal *Response) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, n.Bodies.Most))
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return nil, n.tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, n.refuse(http.StatusRequestTimeout, "body took too long", time.Second)
	case err != nil:
		return nil, n.refuse(http.StatusBadRequest, "body was cut short", 0)
	case target("", r.RequestURI).RequestURI() != r.RequestURI:
		return nil, n.refuse(http.StatusBadRequest, "this path can't be passed on as it is", 0)
	}
	return body, nil
}

func (n *Near) tooLarge() *Response {
	return n.refuse(http.StatusRequestEntityTooLarge, fmt.Sprintf("body is over %d bytes", n.Bodies.Most), 0)
}

// refuse words a refusal of a request that has not run.
func (n *Near) refuse(status int, reason string, back time.Duration) *Response {
	refusal := n.word(status, routing.NotRun, reason, "", back)
	return &refusal
}
