package proxy

import (
	"bufio"
	"context"
	"net/http"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/trace"
)

// exchange puts an attempt to its backend and reads the complete response. Where an open
// connection failed before a byte was written, the attempt goes on a new one, past the guard
// again: only then is it known that the backend has seen nothing.
func (in *Inbound) exchange(ctx context.Context, endpoint endpoints.Endpoint, attempt *Attempt, span trace.Span, guard *writeGuard) AttemptResponse {
	x := backendExchange{inbound: in, endpoint: endpoint, attempt: attempt, span: span, guard: guard, maxConnections: in.maxConnections(endpoint)}
	response, retry := x.tryConnection(ctx, maxIdleTimeFor(attempt))
	for retry {
		response, retry = x.tryConnection(ctx, newConnection)
	}
	return response
}

// maxIdleTimeFor returns how long an open connection may have been idle to be used for an attempt.
func maxIdleTimeFor(attempt *Attempt) time.Duration {
	if attempt.Idempotent {
		return maxIdleTime
	}
	return maxIdleNonIdempotent
}

// backendExchange is the exchange of one attempt with its backend.
type backendExchange struct {
	inbound        *Inbound
	endpoint       endpoints.Endpoint
	attempt        *Attempt
	span           trace.Span
	guard          *writeGuard
	maxConnections int

	// What follows is of the current connection.
	conn *backendConn
	req  *http.Request
	// nothingWritten says that the connection failed before a byte was taken.
	nothingWritten bool
	// misrouted says that another instance has answered at the backend's address.
	misrouted bool
}

// tryConnection puts the attempt to the backend on a connection that was idle for less than
// maxIdle or is new. It asks for a retry if nothing was written, as an open connection had
// failed before.
func (x *backendExchange) tryConnection(ctx context.Context, maxIdle time.Duration) (response AttemptResponse, retry bool) {
	pool := x.inbound.pool
	conn, err := pool.acquire(ctx, x.endpoint, x.maxConnections, maxIdle)
	if err != nil {
		return connectionLost(ctx, err), false
	}
	x.conn, x.req, x.nothingWritten, x.misrouted = conn, x.newRequest(ctx), false, false
	// Reads and writes wait until the connection's deadline: this is how they end with ctx.
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	reused := conn.usedBefore
	conn.usedBefore = true
	conn.carriedHead = conn.carriedHead || x.attempt.Method == http.MethodHead
	response = x.run(ctx)
	if !stop() {
		conn.idleTimeout = 0 // its deadline may be changed at any moment from now on
	}
	if x.misrouted {
		pool.closeIdle(conn.address)
	}
	pool.release(conn, x.maxConnections)
	return response, reused && x.nothingWritten
}

// newRequest makes the HTTP request of the attempt.
func (x *backendExchange) newRequest(ctx context.Context) *http.Request {
	req := newBackendRequest(ctx, x.endpoint.Address, x.attempt)
	trace.WriteB3(req.Header, x.span)
	x.inbound.Dialect.SetBackendHeaders(req.Header, x.attempt, time.Until(deadline(ctx)))
	return req
}

// run writes the request and reads the response. The connection is kept only if it is known to
// stand between two responses.
func (x *backendExchange) run(ctx context.Context) AttemptResponse {
	idleTimeout := x.conn.idleTimeout
	x.conn.idleTimeout = 0
	written := x.startWrite(ctx)
	response, idleTimeoutAfter := x.readResponse(ctx)
	err := x.endWrite(written)
	switch {
	case err == nil:
		x.conn.idleTimeout, x.conn.idleSince = idleTimeoutAfter, time.Now()
	case x.guard.written():
	case x.guard.refusal.Load() != nil:
		x.conn.idleTimeout = idleTimeout // nothing has happened on the connection
		response = connectionLost(ctx, err)
	default:
		x.nothingWritten = true
		response = connectionLost(ctx, err)
	}
	return response
}

// startWrite writes the request, and returns where the write's result arrives. A long request is
// written while the response is read already, as it may be answered before its end.
func (x *backendExchange) startWrite(ctx context.Context) <-chan error {
	written := make(chan error, 1)
	write := func(context.Context) {
		err := x.write()
		if err != nil && !x.guard.written() {
			x.conn.SetReadDeadline(time.Now()) // there will be no response
		}
		written <- err
	}
	if len(x.attempt.Body) <= inlineWriteLimit {
		write(ctx)
	} else {
		x.inbound.Actors.Go(ctx, "request-write", write)
	}
	return written
}

// endWrite returns the write's result; a write that has not ended by now is given up.
func (x *backendExchange) endWrite(written <-chan error) error {
	select {
	case err := <-written:
		return err
	default:
		x.conn.SetDeadline(time.Now())
		return <-written
	}
}

// write writes the request, one that is not long in one piece.
func (x *backendExchange) write() error {
	out := bufio.NewWriterSize(guardedWriter{conn: x.conn.Conn, guard: x.guard}, headBufferSize+min(len(x.attempt.Body), inlineWriteLimit))
	if err := x.req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}
