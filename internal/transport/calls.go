package transport

import (
	"time"

	"curlewwalk/internal/trace"
)

// longFrame is the length from which a frame is written beside the connection's thread, so
// that responses of other calls do not wait for it.
const longFrame = 16 << 10 // (ours)

// openCalls are the calls of a connection that wait for their responses. The connection's thread
// owns them.
type openCalls struct {
	connection *Connection
	open       map[uint64]*call
	// dropped are those whose callers gave up; their responses may still come.
	dropped map[uint64]bool
	next    uint64
	peer    silence
	// tick runs only while calls are open: a node has a connection to each other one, and an
	// idle one should cost nothing.
	tick *time.Timer
	// writing is the call whose frame is being written beside the thread, if there is one.
	writing *call
	wrote   chan written
}

// written tells what became of a frame: all of it was taken, or an error ended it.
type written struct {
	whole bool
	err   error
}

func newOpenCalls(c *Connection) *openCalls {
	return &openCalls{connection: c, open: map[uint64]*call{}, dropped: map[uint64]bool{}, tick: time.NewTimer(pingAfter), wrote: make(chan written, 1)}
}

// step does what comes next; false ends the connection.
func (o *openCalls) step() bool {
	calls := o.connection.calls
	if o.writing != nil {
		calls = nil // one frame at a time
	}
	select {
	case k := <-calls:
		return o.begin(k)
	case w := <-o.wrote:
		return o.begun(w)
	case in := <-o.connection.in:
		return o.receive(in)
	case <-o.tick.C:
		return o.look()
	}
}

// begin writes a call's frame, or has it written.
func (o *openCalls) begin(k *call) bool {
	if k.givenUp.Load() {
		return true // not begun, and not to be
	}
	if len(o.open) == 0 {
		o.peer.begin(time.Now(), o.connection.conn.bytes.Load())
		o.tick.Reset(pingAfter)
	}
	if k.elsewhere && o.peer.suspect() {
		k.reply <- Response{Fate: Unsent}
		return true
	}
	o.next++
	k.id = o.next
	frame, err := encode(k.span, message{ID: k.id, Kind: k.kind, Body: k.body})
	k.body = nil
	if err != nil {
		k.reply <- Response{Fate: Unsent, Fault: err.Error()}
		return true
	}
	o.open[k.id], o.writing = k, k
	if len(frame) < longFrame {
		return o.begun(o.write(k.kind, frame))
	}
	o.connection.launch("circuit-write", func() { o.wrote <- o.write(k.kind, frame) })
	return true
}

// write writes a frame.
func (o *openCalls) write(kind string, frame []byte) written {
	n, err := writeFrame(o.connection.conn, frame)
	whole := n == len(frame)
	if whole {
		o.connection.count.call(kind, n)
	}
	return written{whole, err}
}

// begun takes what became of the frame that was being written. Part of a frame can't be
// read as a message; of a whole one the response may have come before. (DESIGN 3.3)
func (o *openCalls) begun(w written) bool {
	k := o.writing
	o.writing = nil
	if o.open[k.id] == k && !w.whole {
		delete(o.open, k.id)
		k.reply <- Response{Fate: Unsent}
	}
	return w.err == nil
}

// receive takes what the peer sent. A response that nobody waits for, or of another kind,
// ends the connection: it can't be trusted.
func (o *openCalls) receive(in inbound) bool {
	count := o.connection.count
	switch {
	case in.err != nil:
		return false
	case in.msg.Kind == KindPing:
		count.response(KindPing, in.bytes)
		return true
	}
	k, ok := o.open[in.msg.ID]
	switch {
	case !ok && o.dropped[in.msg.ID]:
		delete(o.dropped, in.msg.ID)
		count.response(kindDropped, in.bytes)
		return true
	case !ok, k.kind != in.msg.Kind:
		return false
	}
	delete(o.open, in.msg.ID)
	if k.givenUp.Load() {
		count.response(kindDropped, in.bytes)
		return true
	}
	count.response(k.kind, in.bytes)
	k.reply <- Response{Fate: Answered, Fault: in.msg.Fault, Span: in.span, Traced: in.traced, body: in.msg.Body}
	return true
}

// look looks after the peer while calls are open. While a frame is being written, its
// writing tells whether the peer is there.
func (o *openCalls) look() bool {
	for id, k := range o.open {
		if k.givenUp.Load() && k != o.writing {
			delete(o.open, id)
			o.dropped[id] = true
		}
	}
	if len(o.open) == 0 {
		return true
	}
	o.tick.Reset(pingAfter)
	if o.writing != nil {
		o.peer.begin(time.Now(), o.connection.conn.bytes.Load())
		return true
	}
	if o.peer.look(time.Now(), o.connection.conn.bytes.Load()) {
		return false
	}
	ping, err := encode(trace.Span{}, message{Kind: KindPing})
	if err != nil {
		panic(err) // a number and a word can be written
	}
	return o.write(KindPing, ping).err == nil
}

// end closes the connection. What is still open is lost, but for a call whose frame was not
// wholly written.
func (o *openCalls) end() {
	o.tick.Stop()
	o.connection.conn.Close()
	close(o.connection.done)
	if o.writing != nil {
		o.begun(<-o.wrote)
	}
	for _, k := range o.open {
		k.reply <- Response{Fate: Lost}
	}
}
