package transport

import (
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// backgroundWriteSize is the length, in bytes, from which a frame is written by a goroutine
// of its own, so that responses to other calls do not wait for it.
const backgroundWriteSize = 16 << 10 // (ours)

// pendingCall is a call from when the connection takes it until its response.
type pendingCall struct {
	id   uint64
	span trace.Span
	kind string
	body msgpack.RawMessage
	// response takes the one response; it has room for it.
	response chan Response
	failFast bool
	// abandoned is set once the caller no longer waits.
	abandoned atomic.Bool
}

// pendingCalls are the calls of a connection that wait for their responses. They belong to
// the connection's goroutine.
type pendingCalls struct {
	connection *Connection
	byID       map[uint64]*pendingCall
	// abandoned are those whose callers gave up; their responses may still come.
	abandoned map[uint64]bool
	lastID    uint64
	idle      idleDetector
	// keepalive runs only while calls are pending: a node has a connection to each other
	// one, and an idle one should cost nothing.
	keepalive *time.Timer
	// writing is the call whose frame is being written, if there is one; writeDone then
	// gets the result.
	writing   *pendingCall
	writeDone chan writeResult
}

// writeResult is what became of a frame: the peer accepted all of it, or an error ended it.
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

// step handles the next event; false ends the connection.
func (p *pendingCalls) step() bool {
	calls := p.connection.calls
	if p.writing != nil {
		calls = nil // one frame at a time
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

// send writes a call's frame, or starts writing it.
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

// write writes a frame of a call or a ping.
func (p *pendingCalls) write(kind string, frame []byte) writeResult {
	n, err := writeFrame(p.connection.conn, frame)
	complete := n == len(frame)
	if complete {
		p.connection.counters.addCall(kind, n)
	}
	return writeResult{complete: complete, err: err}
}

// finishSend takes what became of the frame that was being written. The peer can't read part
// of a frame as a message; the response to a whole one may have come already. (DESIGN 3.3)
func (p *pendingCalls) finishSend(result writeResult) bool {
	call := p.writing
	p.writing = nil
	if p.byID[call.id] == call && !result.complete {
		delete(p.byID, call.id)
		call.response <- notDelivered("")
	}
	return result.err == nil
}

// receive takes what the peer sent. A response to no pending call, or of another kind, ends
// the connection: it can't be trusted.
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
		Delivery: Answered,
		Fault:    received.message.Fault,
		Span:     received.span,
		Traced:   received.traced,
		body:     received.message.Body,
	}
	return true
}

// checkPeer pings the peer while calls are pending, and ends the connection if it has timed
// out. While a frame is being written, the write's own timeout reports whether the peer is
// there.
func (p *pendingCalls) checkPeer() bool {
	p.forgetAbandoned()
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

// forgetAbandoned keeps of the calls whose callers gave up only the numbers.
func (p *pendingCalls) forgetAbandoned() {
	for id, call := range p.byID {
		if call.abandoned.Load() && call != p.writing {
			delete(p.byID, id)
			p.abandoned[id] = true
		}
	}
}

// close closes the connection. Whether a pending call was delivered is not known, unless its
// frame was not written completely.
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
