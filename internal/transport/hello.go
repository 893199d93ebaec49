package transport

import (
	"bufio"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// ProtocolVersion is the version of the message protocol. Each side sends it in its Hello.
const ProtocolVersion = 1

// maxHelloSize is the maximum payload length of the first frame in bytes. It is small because
// any process that can connect may send this frame.
const maxHelloSize = 4 << 10

// handshakeTimeout is how long the exchange of both Hellos may take.
const handshakeTimeout = time.Second

// Hello is the first message that each side of a connection sends. Unknown fields are ignored,
// so that different versions interoperate.
type Hello struct {
	// Version is the sender's ProtocolVersion. The handshake does not compare the versions.
	Version int `msgpack:"v"`
	// Node is the address under which the sender's server is reachable.
	Node string `msgpack:"n"`
	// Incarnation is a random number that the sender's process generates when it starts.
	Incarnation uint64 `msgpack:"b"`
}

// countFunc counts a frame of the given kind and length.
type countFunc func(kind string, bytes int)

// handshake sends the local Hello and returns the peer's.
func handshake(conn net.Conn, reader *bufio.Reader, local Hello, countSent, countReceived countFunc) (peer Hello, err error) {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer conn.SetDeadline(time.Time{})
	encoded, err := msgpack.Marshal(&local)
	if err != nil {
		return peer, err
	}
	frame := sealFrame(append(make([]byte, headerLen), encoded...))
	if _, err := conn.Write(frame); err != nil {
		return peer, eris.Wrap(err, "send hello")
	}
	countSent(kindHello, len(frame))
	payload, err := readFrame(reader, maxHelloSize)
	if err != nil {
		return peer, eris.Wrap(err, "read hello")
	}
	countReceived(kindHello, headerLen+len(payload))
	return peer, eris.Wrap(Unmarshal(payload, &peer), "decode hello")
}
