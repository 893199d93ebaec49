package transport

import (
	"bufio"
	"context"
	"net"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// responseBacklog is how many responses of a connection may wait to be written. (ours)
const responseBacklog = 16

// serverConnection is the answering side of one connection: one goroutine reads calls, each
// call is handled by a goroutine of its own, and one more writes the responses.
type serverConnection struct {
	*Server
	conn net.Conn
	peer Hello
	// responses are the frames that wait to be written.
	responses chan []byte
}

// readCalls reads calls and has them handled, until the connection ends or something comes
// that can't be trusted.
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
			return // a frame came twice or out of order
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

// handle runs a call's handler.
func (c *serverConnection) handle(ctx context.Context, call message) message {
	response := message{ID: call.ID, Kind: call.Kind}
	handler, ok := c.Handlers[call.Kind]
	if !ok {
		response.Fault = unknownKindPrefix + call.Kind
		return response
	}
	body, err := handler(ctx, Request{Peer: c.peer, body: call.Body})
	if err != nil {
		response.Fault = err.Error()
		return response
	}
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		response.Fault = err.Error()
	}
	response.Body = encoded
	return response
}

// respond queues a response, with the caller's span if the call had one. If the queue is
// full it waits until ctx ends; if there is room, the response is queued even then.
func (c *serverConnection) respond(ctx context.Context, span trace.Span, response message) {
	frame, err := encode(span, response)
	if err != nil {
		frame, _ = encode(span, message{ID: response.ID, Kind: response.Kind, Fault: err.Error()})
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

// respondToPing answers a ping, unless responses wait to be written, which tell the peer as
// much. It must not wait for them: the peer may be busy writing, and read nothing until this
// side has read that. (DESIGN 3.4)
func (c *serverConnection) respondToPing() {
	frame := encodePing()
	select {
	case c.responses <- frame:
		c.Counters.addResponse(KindPing, len(frame))
	default:
	}
}

// writeResponses writes responses as they come, until ctx or the connection ends. It closes
// the connection.
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

// flushResponses writes the responses that are ready, so that no call that was handled is
// left without its answer.
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
