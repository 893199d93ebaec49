package transport

import (
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// backgroundWriteSize is the frame length in bytes from which a frame is written by a separate
// goroutine, so that writing it does not delay responses to other calls.
const backgroundWriteSize = 16 << 10

// pendingCall is a call that the connection has accepted and that has no response yet.
type pendingCall struct {
	id   uint64
	span trace.Span
	kind string
	body msgpack.RawMessage
	// response receives exactly one response. It is buffered, so that the sender never blocks.
	response chan Response
	failFast bool
	// abandoned is set when the caller stops waiting for the response.
	abandoned atomic.Bool
}

// pendingCalls tracks the calls of a connection that have no response yet. Only the goroutine
// that runs Connection.run uses it.
type pendingCalls struct {
	connection *Connection
	byID       map[uint64]*pendingCall
	// abandoned holds the IDs of calls whose callers have stopped waiting. Their responses may
	// still arrive.
	abandoned map[uint64]bool
	lastID    uint64
	idle      idleDetector
	// keepalive triggers checkPeer. It runs only while calls are pending: each node has a
	// connection to every other node, so an idle connection must cause no work.
	keepalive *time.Timer
	// writing is the call whose frame is being written, or nil. writeDone receives the result
	// of a write by a separate goroutine.
	writing   *pendingCall
	writeDone chan writeResult
}

// writeResult is the result of writing a frame. complete is set if all of the frame was written.
type writeResult struct {
	complete bool
	err      error
}

func newPendingCalls(connection *Connection) *pendingCalls {
	return &pendingCalls{
		connection: connection,
		byID:       map[uint64]*pendingCall{},
		abandoned:  map[uint64]bool{},
		keepalive:  time.NewTimer(pingInterval),
		writeDone:  make(chan writeResult, 1),
	}
}

// step handles the next event. It reports whether the connection can continue.
func (p *pendingCalls) step() bool {
	calls := p.connection.calls
	if p.writing != nil {
		calls = nil // accept no call while a frame is being written
	}
	select {
	case call := <-calls:
		return p.send(call)
	case result := <-p.writeDone:
		return p.finishSend(result)
	case received := <-p.connection.inbound:
		return p.receive(received)
	case <-p.keepalive.C:
		return p.checkPeer()
	}
}

// send writes the frame of a call, or starts a goroutine that writes it if the frame is long.
// It reports whether the connection can continue.
func (p *pendingCalls) send(call *pendingCall) bool {
	if call.abandoned.Load() {
		return true
	}
	if len(p.byID) == 0 {
		p.idle.reset(time.Now(), p.connection.conn.bytesRead.Load())
		p.keepalive.Reset(pingInterval)
	}
	if call.failFast && p.idle.suspected() {
		call.response <- notDelivered("")
		return true
	}
	p.lastID++
	call.id = p.lastID
	frame, err := encode(call.span, message{ID: call.id, Kind: call.kind, Body: call.body})
	call.body = nil
	if err != nil {
		call.response <- notDelivered(err.Error())
		return true
	}
	p.byID[call.id], p.writing = call, call
	if len(frame) < backgroundWriteSize {
		return p.finishSend(p.write(call.kind, frame))
	}
	p.connection.spawn("transport-write", func() { p.writeDone <- p.write(call.kind, frame) })
	return true
}

// write writes the frame of a call or a ping. It counts the frame if it was written completely.
func (p *pendingCalls) write(kind string, frame []byte) writeResult {
	n, err := writeFrame(p.connection.conn, frame)
	complete := n == len(frame)
	if complete {
		p.connection.counters.addCall(kind, n)
	}
	return writeResult{complete: complete, err: err}
}

// finishSend handles the result of writing a call's frame, and reports whether the connection
// can continue. If the frame is incomplete, the call is certainly not delivered, because the
// peer cannot decode part of a frame. The response to a complete frame may already have
// arrived. (DESIGN 3.3)
func (p *pendingCalls) finishSend(result writeResult) bool {
	call := p.writing
	p.writing = nil
	if p.byID[call.id] == call && !result.complete {
		delete(p.byID, call.id)
		call.response <- notDelivered("")
	}
	return result.err == nil
}

// receive handles a message from the peer, and reports whether the connection can continue. A
// response that matches no call, or that has another kind than its call, ends the connection,
// since later responses cannot be trusted either.
func (p *pendingCalls) receive(received inboundEnvelope) bool {
	counters := p.connection.counters
	switch {
	case received.err != nil:
		return false
	case received.message.Kind == KindPing:
		counters.addResponse(KindPing, received.frameSize)
		return true
	}
	call, ok := p.byID[received.message.ID]
	switch {
	case !ok && p.abandoned[received.message.ID]:
		delete(p.abandoned, received.message.ID)
		counters.addResponse(kindAbandoned, received.frameSize)
		return true
	case !ok, call.kind != received.message.Kind:
		return false
	}
	delete(p.byID, received.message.ID)
	if call.abandoned.Load() {
		counters.addResponse(kindAbandoned, received.frameSize)
		return true
	}
	counters.addResponse(call.kind, received.frameSize)
	call.response <- Response{
		Delivery:  Answered,
		ErrorText: received.message.ErrorText,
		Span:      received.span,
		Traced:    received.traced,
		body:      received.message.Body,
	}
	return true
}

// checkPeer pings the peer while calls are pending. It returns false if the peer has timed out
// or the ping cannot be written. While a frame is being written, checkPeer sends no ping and
// writeTimeout detects an unresponsive peer instead.
func (p *pendingCalls) checkPeer() bool {
	p.discardAbandoned()
	if len(p.byID) == 0 {
		return true
	}
	p.keepalive.Reset(pingInterval)
	bytesRead := p.connection.conn.bytesRead.Load()
	if p.writing != nil {
		p.idle.reset(time.Now(), bytesRead)
		return true
	}
	if p.idle.check(time.Now(), bytesRead) {
		return false
	}
	return p.write(KindPing, encodePing()).err == nil
}

// discardAbandoned removes the calls whose callers have stopped waiting, and keeps only their
// IDs.
func (p *pendingCalls) discardAbandoned() {
	for id, call := range p.byID {
		if call.abandoned.Load() && call != p.writing {
			delete(p.byID, id)
			p.abandoned[id] = true
		}
	}
}

// close closes the connection and completes all pending calls. A call whose frame was not
// written completely is not delivered. The delivery of each other call is unknown.
func (p *pendingCalls) close() {
	p.keepalive.Stop()
	p.connection.conn.Close()
	close(p.connection.done)
	if p.writing != nil {
		p.finishSend(<-p.writeDone)
	}
	for _, call := range p.byID {
		call.response <- Response{Delivery: DeliveryUnknown}
	}
}
