package transport

import (
	"time"

	"curlewwalk/internal/trace"
)

// backgroundWriteSize is the length from which a frame is written beside the connection's thread, so
// that responses of other calls do not wait for it.
const backgroundWriteSize = 16 << 10 // (ours)

// pendingCalls are the calls of a connection that wait for their responses. The connection's thread
// owns them.
type pendingCalls struct {
	connection *Connection
	byID       map[uint64]*pendingCall
	// abandoned are those whose callers gave up; their responses may still come.
	abandoned map[uint64]bool
	lastID    uint64
	idle      idleDetector
	// keepalive runs only while calls are open: a node has a connection to each other one, and an
	// idle one should cost nothing.
	keepalive *time.Timer
	// writing is the call whose frame is being written beside the thread, if there is one.
	writing   *pendingCall
	writeDone chan writeResult
}

// writeResult tells what became of a frame: all of it was taken, or an error ended it.
type writeResult struct {
	complete bool
	err      error
}

func newPendingCalls(connection *Connection) *pendingCalls {
	return &pendingCalls{connection: connection, byID: map[uint64]*pendingCall{}, abandoned: map[uint64]bool{}, keepalive: time.NewTimer(pingInterval), writeDone: make(chan writeResult, 1)}
}

// step does what comes next; false ends the connection.
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

// send writes a call's frame, or has it written.
func (p *pendingCalls) send(call *pendingCall) bool {
	if call.abandoned.Load() {
		return true // not begun, and not to be
	}
	if len(p.byID) == 0 {
		p.idle.reset(time.Now(), p.connection.conn.bytesRead.Load())
		p.keepalive.Reset(pingInterval)
	}
	if call.failFast && p.idle.suspected() {
		call.response <- Response{Delivery: NotDelivered}
		return true
	}
	p.lastID++
	call.id = p.lastID
	frame, err := encode(call.span, message{ID: call.id, Kind: call.kind, Body: call.body})
	call.body = nil
	if err != nil {
		call.response <- Response{Delivery: NotDelivered, Fault: err.Error()}
		return true
	}
	p.byID[call.id], p.writing = call, call
	if len(frame) < backgroundWriteSize {
		return p.finishSend(p.write(call.kind, frame))
	}
	p.connection.spawn("circuit-write", func() { p.writeDone <- p.write(call.kind, frame) })
	return true
}

// write writes a frame.
func (p *pendingCalls) write(kind string, frame []byte) writeResult {
	n, err := writeFrame(p.connection.conn, frame)
	complete := n == len(frame)
	if complete {
		p.connection.counters.addCall(kind, n)
	}
	return writeResult{complete, err}
}

// finishSend takes what became of the frame that was being written. Part of a frame can't be
// read as a message; of a whole one the response may have come before. (DESIGN 3.3)
func (p *pendingCalls) finishSend(result writeResult) bool {
	call := p.writing
	p.writing = nil
	if p.byID[call.id] == call && !result.complete {
		delete(p.byID, call.id)
		call.response <- Response{Delivery: NotDelivered}
	}
	return result.err == nil
}

// receive takes what the peer sent. A response that nobody waits for, or of another kind,
// ends the connection: it can't be trusted.
func (p *pendingCalls) receive(received inboundMessage) bool {
	counters := p.connection.counters
	switch {
	case received.err != nil:
		return false
	case received.message.Kind == KindPing:
		counters.addResponse(KindPing, received.bytes)
		return true
	}
	call, ok := p.byID[received.message.ID]
	switch {
	case !ok && p.abandoned[received.message.ID]:
		delete(p.abandoned, received.message.ID)
		counters.addResponse(kindAbandoned, received.bytes)
		return true
	case !ok, call.kind != received.message.Kind:
		return false
	}
	delete(p.byID, received.message.ID)
	if call.abandoned.Load() {
		counters.addResponse(kindAbandoned, received.bytes)
		return true
	}
	counters.addResponse(call.kind, received.bytes)
	call.response <- Response{Delivery: Answered, Fault: received.message.Fault, Span: received.span, Traced: received.traced, body: received.message.Body}
	return true
}

// checkPeer looks after the peer while calls are open. While a frame is being written, its
// writing tells whether the peer is there.
func (p *pendingCalls) checkPeer() bool {
	for id, call := range p.byID {
		if call.abandoned.Load() && call != p.writing {
			delete(p.byID, id)
			p.abandoned[id] = true
		}
	}
	if len(p.byID) == 0 {
		return true
	}
	p.keepalive.Reset(pingInterval)
	if p.writing != nil {
		p.idle.reset(time.Now(), p.connection.conn.bytesRead.Load())
		return true
	}
	if p.idle.check(time.Now(), p.connection.conn.bytesRead.Load()) {
		return false
	}
	ping, err := encode(trace.Span{}, message{Kind: KindPing})
	if err != nil {
		panic(err) // a number and a word can be written
	}
	return p.write(KindPing, ping).err == nil
}

// close closes the connection. What is still open is lost, but for a call whose frame was not
// wholly written.
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
