package transport

import (
	"bufio"
	"context"
	"net"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// responseBacklog is the maximum number of responses queued for writing on a connection.
const responseBacklog = 16

// serverConnection is the answering side of one connection. One goroutine reads calls, a
// separate goroutine handles each call, and one goroutine writes the responses.
type serverConnection struct {
	*Server
	conn net.Conn
	peer Hello
	// responses is the queue of frames to write.
	responses chan []byte
}

// readCalls reads calls and starts a goroutine to handle each, until the connection ends or
// the peer sends an invalid frame or a call out of sequence.
func (c *serverConnection) readCalls(ctx context.Context, reader *bufio.Reader) {
	var lastID uint64
	for {
		received := readEnvelope(reader)
		if received.err != nil {
			return
		}
		call := received.message
		c.Counters.addCall(c.kindOf(call), received.frameSize)
		if call.Kind == KindPing {
			c.respondToPing()
			continue
		}
		if call.ID <= lastID {
			return // duplicate or reordered frame
		}
		lastID = call.ID
		c.Actors.Go(ctx, "transport-call", func(ctx context.Context) {
			if received.traced {
				ctx = trace.ContextWithSpan(ctx, received.span)
			}
			c.respond(ctx, received.span, c.handle(ctx, call))
		})
	}
}

// handle calls the handler of a call and returns the response.
func (c *serverConnection) handle(ctx context.Context, call message) message {
	response := message{ID: call.ID, Kind: call.Kind}
	handler, ok := c.Handlers[call.Kind]
	if !ok {
		response.ErrorText = unknownKindPrefix + call.Kind
		return response
	}
	body, err := handler(ctx, Request{Peer: c.peer, body: call.Body})
	if err != nil {
		response.ErrorText = err.Error()
		return response
	}
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		response.ErrorText = err.Error()
	}
	response.Body = encoded
	return response
}

// respond queues a response, with the caller's span if the call had one. If the queue is full,
// respond blocks until there is room or ctx ends. If there is room, the response is queued even
// if ctx has already ended.
func (c *serverConnection) respond(ctx context.Context, span trace.Span, response message) {
	frame, err := encode(span, response)
	if err != nil {
		frame, _ = encode(span, message{ID: response.ID, Kind: response.Kind, ErrorText: err.Error()})
	}
	c.Counters.addResponse(c.kindOf(response), len(frame))
	select {
	case c.responses <- frame:
		return
	default:
	}
	select {
	case c.responses <- frame:
	case <-ctx.Done():
	}
}

// respondToPing queues the response to a ping. If the queue is full, it discards the response,
// because the queued responses already show the peer that this side is alive. It must not block:
// the peer may be writing a frame, and may read no responses until this side has read that frame.
// (DESIGN 3.4)
func (c *serverConnection) respondToPing() {
	frame := encodePing()
	select {
	case c.responses <- frame:
		c.Counters.addResponse(KindPing, len(frame))
	default:
	}
}

// writeResponses writes queued responses until ctx ends or a write fails. It then closes the
// connection.
func (c *serverConnection) writeResponses(ctx context.Context) {
	defer c.conn.Close()
	for {
		select {
		case frame := <-c.responses:
			if _, err := writeFrame(c.conn, frame); err != nil {
				return
			}
		case <-ctx.Done():
			c.flushResponses()
			return
		}
	}
}

// flushResponses writes all queued responses before the connection is closed, so that each call
// that was handled gets its response.
func (c *serverConnection) flushResponses() {
	for {
		select {
		case frame := <-c.responses:
			if _, err := writeFrame(c.conn, frame); err != nil {
				return
			}
		default:
			return
		}
	}
}
