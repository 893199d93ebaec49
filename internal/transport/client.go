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

// beginTimeout is how long a call of RequestTraffic waits until a connection is open and has
// accepted the call. A call that times out in this way is certainly not delivered, so its caller
// can try another node. A connection that is still being opened can serve a later call.
const beginTimeout = 300 * time.Millisecond

// TrafficClass selects the connection that carries a call. Each class has a connection of its
// own, so that a long frame of one class does not delay the other classes.
type TrafficClass int

const (
	// ControlTraffic carries heartbeats, consensus and gossip.
	ControlTraffic TrafficClass = iota
	// WatchTraffic carries configuration updates.
	WatchTraffic
	// RequestTraffic carries client requests, which can be sent to another node instead.
	RequestTraffic
)

// Client sends calls to other processes. It keeps one connection per address and traffic
// class, and opens connections on demand. It is safe for concurrent use. (DESIGN 3.4)
type Client struct {
	hello   Hello
	localIP net.IP
	actors  *actor.System
	// Counters counts the calls sent and the responses received, by kind.
	Counters Counters

	// connections points to an immutable table. Run replaces the table on each change.
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

// dialRequest is a request to Run for a connection.
type dialRequest struct {
	key    connectionKey
	result chan dialResult // buffered, so that Run does not block on it
}

// dialResult is the result of opening a connection. connection is nil if it failed.
type dialResult struct {
	key        connectionKey
	connection *Connection
	// refused reports whether the connection was refused: no process listens on the address.
	refused bool
}

// pendingDials holds, for each connection that is being opened, the channels on which callers
// wait for the result.
type pendingDials map[connectionKey][]chan dialResult

// NewClient returns a client. Its calls are served only while Run is running. The client sends
// hello on each connection. Connections use localIP as their source address; if localIP is
// nil, the kernel chooses one.
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

// Call sends a call to addr and blocks until the response arrives or ctx ends. It opens a
// connection if there is none for addr and class.
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

// connect returns the open connection for key. If there is none, it requests one and blocks
// until the dial completes or ctx ends.
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

// Run opens connections on demand until ctx ends, and then closes all connections. Only Run
// changes the connection table.
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

// handleDialRequest sends an open connection to the requester. If there is none, it adds the
// requester to pending and starts a dial, unless one is already in progress for the key.
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

// dial opens a connection and sends the result to Run.
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

// handleDialResult sends the result of a dial to all requesters that wait for it.
func (c *Client) handleDialResult(ctx context.Context, pending pendingDials, result dialResult) {
	for _, waiter := range pending[result.key] {
		waiter <- result
	}
	delete(pending, result.key)
	if result.connection != nil {
		c.addConnection(ctx, result.key, result.connection)
	}
}

// addConnection adds a connection to the table. It starts a goroutine that notifies Run when the
// connection has ended.
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

// removeConnection removes a connection that has ended from the table.
func (c *Client) removeConnection(ended *Connection) {
	c.updateTable(func(table connectionTable) {
		maps.DeleteFunc(table, func(_ connectionKey, connection *Connection) bool { return connection == ended })
	})
}

// updateTable applies change to a copy of the table and stores the copy.
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
