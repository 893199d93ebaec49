package proxy

import (
	"bufio"
	"context"
	"net/http"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/trace"
)

// exchange sends an attempt to the backend and reads the complete response. If a reused connection
// fails before a byte was written, exchange retries on a new connection and checks the guard again.
// Only in this case is it known that the backend has received nothing.
func (in *Inbound) exchange(ctx context.Context, endpoint endpoints.Endpoint, attempt *Attempt, span trace.Span, guard *writeGuard) AttemptResponse {
	x := backendExchange{inbound: in, endpoint: endpoint, attempt: attempt, span: span, guard: guard, maxConnections: in.maxConnections(endpoint)}
	response, retry := x.tryConnection(ctx, maxIdleTimeFor(attempt))
	for retry { // at most once, because a new connection is not a reused one
		response, retry = x.tryConnection(ctx, forceNewConnection)
	}
	return response
}

// maxIdleTimeFor returns how long a pooled connection may have been idle to be used for an attempt.
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

	// The fields below belong to the current connection.
	conn *backendConn
	req  *http.Request
	// nothingWritten reports whether the connection failed before a byte was written.
	nothingWritten bool
	// misrouted reports whether another instance answered at the backend's address.
	misrouted bool
}

// tryConnection sends the attempt to the backend on a connection that was idle for less than
// maxIdle, or on a new one. retry is true if the connection was reused and failed before a byte was
// written.
func (x *backendExchange) tryConnection(ctx context.Context, maxIdle time.Duration) (response AttemptResponse, retry bool) {
	pool := x.inbound.pool
	conn, err := pool.acquire(ctx, x.endpoint, x.maxConnections, maxIdle)
	if err != nil {
		return connectionLost(ctx, err), false
	}
	x.conn, x.req, x.nothingWritten, x.misrouted = conn, x.newRequest(ctx), false, false
	// Reads and writes block until the connection's deadline. Setting the deadline to the current
	// time interrupts them when ctx ends.
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	reused := conn.usedBefore
	conn.usedBefore = true
	conn.carriedHead = conn.carriedHead || x.attempt.Method == http.MethodHead
	response = x.run(ctx)
	if !stop() {
		conn.idleTimeout = 0 // the function above may still change the deadline at any time
	}
	if x.misrouted {
		pool.closeIdle(conn.address)
	}
	pool.release(conn, x.maxConnections)
	return response, reused && x.nothingWritten
}

// newRequest builds the HTTP request of the attempt.
func (x *backendExchange) newRequest(ctx context.Context) *http.Request {
	req := newBackendRequest(ctx, x.endpoint.Address, x.attempt)
	trace.WriteB3(req.Header, x.span)
	x.inbound.Dialect.SetBackendHeaders(req.Header, x.attempt, time.Until(deadline(ctx)))
	return req
}

// run writes the request and reads the response. The connection is kept only if the last response
// on it was read completely and no other response is due.
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
		// The response is kept, because the backend may respond before the end of the request. The
		// connection is closed.
	case x.guard.refusal.Load() != nil:
		x.conn.idleTimeout = idleTimeout // the connection was not used
		response = connectionLost(ctx, err)
	default:
		x.nothingWritten = true
		response = connectionLost(ctx, err)
	}
	return response
}

// startWrite writes the request, and returns the channel that receives the write's result. A
// request with a body longer than inlineWriteLimit is written concurrently with reading the
// response, because the backend may respond before the end of the request.
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

// endWrite returns the result of the write. It aborts a write that has not ended yet.
func (x *backendExchange) endWrite(written <-chan error) error {
	select {
	case err := <-written:
		return err
	default:
		x.conn.SetDeadline(time.Now())
		return <-written
	}
}

// write writes the request. A request that fits in the buffer is written with a single call of
// Write.
func (x *backendExchange) write() error {
	out := bufio.NewWriterSize(guardedWriter{conn: x.conn.Conn, guard: x.guard}, headBufferSize+min(len(x.attempt.Body), inlineWriteLimit))
	if err := x.req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}
