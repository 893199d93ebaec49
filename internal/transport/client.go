package transport

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"curlewwalk/internal/actor"
)

// Client keeps one connection for each lane to each address and opens them on
// demand. The table of connections is an immutable snapshot. (DESIGN 3.4)
type Client struct {
	hello        Hello
	localIP      net.IP
	actors       *actor.System
	connections  atomic.Pointer[map[connectionKey]*Connection]
	dialRequests chan dialRequest
	dialed       chan dialResult
	closed       chan *Connection
	// Counters are the calls sent and the responses that came, by kind.
	Counters Counters
}

// TrafficClass keeps control traffic and requests out of each other's way.
type TrafficClass int

// The lanes.
const (
	ControlTraffic TrafficClass = iota
	WatchTraffic
	RequestTraffic
)

type connectionKey struct {
	addr  string
	class TrafficClass
}

type dialRequest struct {
	key    connectionKey
	result chan dialResult
}

type dialResult struct {
	key        connectionKey
	connection *Connection
	// refused is set when nobody listens there.
	refused bool
}

// NewClient makes a Net; from is the local address that dials come from.
func NewClient(actors *actor.System, hello Hello, localIP net.IP) *Client {
	client := &Client{hello: hello, localIP: localIP, actors: actors, dialRequests: make(chan dialRequest), dialed: make(chan dialResult), closed: make(chan *Connection)}
	client.connections.Store(&map[connectionKey]*Connection{})
	return client
}

// beginTimeout is how long a request waits to be begun with on the way to another node, for a
// connection to be opened or to come free: past it, it is surely unsent, and its caller can
// turn elsewhere. A connection that is being opened may still serve the next.
const beginTimeout = 300 * time.Millisecond // (ours)

// Call sends one call to addr, opening a connection if there is none.
func (c *Client) Call(ctx context.Context, addr string, class TrafficClass, kind string, body any) Response {
	beginCtx := ctx
	if class == RequestTraffic {
		var cancel context.CancelFunc
		beginCtx, cancel = context.WithTimeout(ctx, beginTimeout)
		defer cancel()
	}
	key := connectionKey{addr: addr, class: class}
	connection, ok := (*c.connections.Load())[key]
	if !ok {
		request := dialRequest{key: key, result: make(chan dialResult, 1)}
		select {
		case c.dialRequests <- request:
		case <-beginCtx.Done():
			return Response{Delivery: NotDelivered}
		}
		var result dialResult
		select {
		case result = <-request.result:
		case <-beginCtx.Done():
		}
		if connection = result.connection; connection == nil {
			return Response{Delivery: NotDelivered, Fault: "no circuit", ConnectionRefused: result.refused}
		}
	}
	return connection.call(ctx, beginCtx, kind, body, class == RequestTraffic)
}

// Run owns the table.
func (c *Client) Run(ctx context.Context) {
	waiting := map[connectionKey][]chan dialResult{}
	for {
		select {
		case <-ctx.Done():
			c.closeAll()
			return
		case request := <-c.dialRequests:
			c.handleDialRequest(ctx, waiting, request)
		case result := <-c.dialed:
			for _, reply := range waiting[result.key] {
				reply <- result
			}
			delete(waiting, result.key)
			if result.connection != nil {
				c.addConnection(ctx, result)
			}
		case connection := <-c.closed:
			c.updateConnections(func(m map[connectionKey]*Connection) {
				maps.DeleteFunc(m, func(_ connectionKey, have *Connection) bool { return have == connection })
			})
		}
	}
}

func (c *Client) closeAll() {
	for _, connection := range *c.connections.Load() {
		connection.Close()
	}
}

// updateConnections puts a changed copy of the table in its place.
func (c *Client) updateConnections(change func(map[connectionKey]*Connection)) {
	next := maps.Clone(*c.connections.Load())
	change(next)
	c.connections.Store(&next)
}

// handleDialRequest answers who wants a connection that is open, and has others wait for the one that
// is being opened.
func (c *Client) handleDialRequest(ctx context.Context, waiting map[connectionKey][]chan dialResult, request dialRequest) {
	if connection, ok := (*c.connections.Load())[request.key]; ok {
		request.result <- dialResult{key: request.key, connection: connection}
		return
	}
	waiting[request.key] = append(waiting[request.key], request.result)
	if len(waiting[request.key]) == 1 {
		c.actors.Go(ctx, "dial", func(ctx context.Context) { c.dial(ctx, request.key) })
	}
}

// dial opens a connection and hands it to Run.
func (c *Client) dial(ctx context.Context, key connectionKey) {
	connection, err := dial(ctx, c.actors, c.localIP, key.addr, c.hello, &c.Counters)
	if err != nil {
		connection = nil
	}
	select {
	case c.dialed <- dialResult{key: key, connection: connection, refused: errors.Is(err, syscall.ECONNREFUSED)}:
	case <-ctx.Done():
		if connection != nil {
			connection.Close()
		}
	}
}

// addConnection puts a connection into the table until it has ended.
func (c *Client) addConnection(ctx context.Context, result dialResult) {
	c.updateConnections(func(m map[connectionKey]*Connection) { m[result.key] = result.connection })
	c.actors.Go(ctx, "circuit-watch", func(ctx context.Context) {
		<-result.connection.Done()
		select {
		case c.closed <- result.connection:
		case <-ctx.Done():
		}
	})
}
