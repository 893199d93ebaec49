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

// beginTimeout is how long a call of RequestTraffic waits for a connection to be opened or
// to come free. After that it is certainly not delivered, and its caller can turn to another
// node. A connection that is still being opened may serve the next call.
const beginTimeout = 300 * time.Millisecond // (ours)

// TrafficClass separates traffic into connections of their own, so that a long frame of one
// class does not delay the others.
type TrafficClass int

const (
	// ControlTraffic is what keeps the system together: heartbeats, consensus, gossip.
	ControlTraffic TrafficClass = iota
	// WatchTraffic is configuration updates.
	WatchTraffic
	// RequestTraffic is clients' requests, which can turn to another node.
	RequestTraffic
)

// Client sends calls to other processes. It keeps one connection for each traffic class to
// each address, and opens them on demand. (DESIGN 3.4)
type Client struct {
	hello   Hello
	localIP net.IP
	actors  *actor.System
	// Counters are the calls sent and the responses received, by kind.
	Counters Counters

	// connections is an immutable snapshot, which Run replaces.
	connections  atomic.Pointer[connectionTable]
	dialRequests chan dialRequest
	dialed       chan dialResult
	closed       chan *Connection
}

type connectionTable map[connectionKey]*Connection

type connectionKey struct {
	addr  string
	class TrafficClass
}

// dialRequest asks Run for a connection.
type dialRequest struct {
	key    connectionKey
	result chan dialResult // has room for the result
}

// dialResult is how opening a connection went; connection is nil if it failed.
type dialResult struct {
	key        connectionKey
	connection *Connection
	// refused is set when no process listens there.
	refused bool
}

// pendingDials are those who wait for a connection that is being opened.
type pendingDials map[connectionKey][]chan dialResult

// NewClient makes a client; it works while Run does. hello is sent on each connection,
// localIP is the address that they come from, nil for any.
func NewClient(actors *actor.System, hello Hello, localIP net.IP) *Client {
	client := &Client{
		hello:        hello,
		localIP:      localIP,
		actors:       actors,
		dialRequests: make(chan dialRequest),
		dialed:       make(chan dialResult),
		closed:       make(chan *Connection),
	}
	client.connections.Store(&connectionTable{})
	return client
}

// Call sends a call to addr, over a connection that it opens if there is none, and waits for
// the response or for ctx.
func (c *Client) Call(ctx context.Context, addr string, class TrafficClass, kind string, body any) Response {
	beginCtx := ctx
	if class == RequestTraffic {
		var cancel context.CancelFunc
		beginCtx, cancel = context.WithTimeout(ctx, beginTimeout)
		defer cancel()
	}
	result := c.connect(beginCtx, connectionKey{addr: addr, class: class})
	if result.connection == nil {
		response := notDelivered("no connection")
		response.ConnectionRefused = result.refused
		return response
	}
	return result.connection.call(ctx, beginCtx, outboundCall{kind: kind, body: body, failFast: class == RequestTraffic})
}

// connect returns the connection of a key, or waits for it to be opened.
func (c *Client) connect(ctx context.Context, key connectionKey) dialResult {
	if connection, ok := (*c.connections.Load())[key]; ok {
		return dialResult{key: key, connection: connection}
	}
	request := dialRequest{key: key, result: make(chan dialResult, 1)}
	select {
	case c.dialRequests <- request:
	case <-ctx.Done():
		return dialResult{key: key}
	}
	select {
	case result := <-request.result:
		return result
	case <-ctx.Done():
		return dialResult{key: key}
	}
}

// Run opens connections on demand until ctx ends, and then closes all. It alone changes the
// table of connections.
func (c *Client) Run(ctx context.Context) {
	pending := pendingDials{}
	for {
		select {
		case <-ctx.Done():
			c.closeAll()
			return
		case request := <-c.dialRequests:
			c.handleDialRequest(ctx, pending, request)
		case result := <-c.dialed:
			c.handleDialResult(ctx, pending, result)
		case connection := <-c.closed:
			c.removeConnection(connection)
		}
	}
}

// handleDialRequest answers with a connection that is open; else it starts opening one,
// unless that has been done already.
func (c *Client) handleDialRequest(ctx context.Context, pending pendingDials, request dialRequest) {
	if connection, ok := (*c.connections.Load())[request.key]; ok {
		request.result <- dialResult{key: request.key, connection: connection}
		return
	}
	pending[request.key] = append(pending[request.key], request.result)
	if len(pending[request.key]) == 1 {
		c.actors.Go(ctx, "transport-dial", func(ctx context.Context) { c.dial(ctx, request.key) })
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

// handleDialResult answers all who wait for the connection.
func (c *Client) handleDialResult(ctx context.Context, pending pendingDials, result dialResult) {
	for _, waiting := range pending[result.key] {
		waiting <- result
	}
	delete(pending, result.key)
	if result.connection != nil {
		c.addConnection(ctx, result.key, result.connection)
	}
}

// addConnection puts a connection into the table until it has ended.
func (c *Client) addConnection(ctx context.Context, key connectionKey, connection *Connection) {
	c.updateTable(func(table connectionTable) { table[key] = connection })
	c.actors.Go(ctx, "transport-watch", func(ctx context.Context) {
		<-connection.Done()
		select {
		case c.closed <- connection:
		case <-ctx.Done():
		}
	})
}

// removeConnection takes a connection out of the table.
func (c *Client) removeConnection(ended *Connection) {
	c.updateTable(func(table connectionTable) {
		maps.DeleteFunc(table, func(_ connectionKey, connection *Connection) bool { return connection == ended })
	})
}

// updateTable replaces the table by a changed copy.
func (c *Client) updateTable(change func(table connectionTable)) {
	next := maps.Clone(*c.connections.Load())
	change(next)
	c.connections.Store(&next)
}

func (c *Client) closeAll() {
	for _, connection := range *c.connections.Load() {
		connection.Close()
	}
}
