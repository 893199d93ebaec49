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

// reserveBody takes room for a request's body, which must be given back, or tells why there is
// none.
func (n *Outbound) reserveBody(r *http.Request) (size int64, refusal *Response) {
	size = r.ContentLength
	if size < 0 {
		size = n.Bodies.MaxBody // it will tell at its end
	}
	if size > n.Bodies.MaxBody {
		return 0, n.tooLarge()
	}
	if !n.Bodies.Reserve(size) {
		return 0, n.reject(http.StatusServiceUnavailable, "this node holds as many bodies as it can", time.Second)
	}
	return size, nil
}

// readBody reads a request's body whole, or tells why it is not gone on with.
func (n *Outbound) readBody(r *http.Request) (body []byte, refusal *Response) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, n.Bodies.MaxBody))
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return nil, n.tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, n.reject(http.StatusRequestTimeout, "body took too long", time.Second)
	case err != nil:
		return nil, n.reject(http.StatusBadRequest, "body was cut short", 0)
	case requestTargetURL("", r.RequestURI).RequestURI() != r.RequestURI:
		return nil, n.reject(http.StatusBadRequest, "this path can't be passed on as it is", 0)
	}
	return body, nil
}

func (n *Outbound) tooLarge() *Response {
	return n.reject(http.StatusRequestEntityTooLarge, fmt.Sprintf("body is over %d bytes", n.Bodies.MaxBody), 0)
}

// reject words a refusal of a request that has not run.
func (n *Outbound) reject(status int, reason string, back time.Duration) *Response {
	refusal := n.localReply(status, routing.NotRun, reason, "", back)
	return &refusal
}
