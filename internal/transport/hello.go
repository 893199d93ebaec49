package transport

import (
	"bufio"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// ProtocolVersion is the version of the messages, sent in Hello.
const ProtocolVersion = 1

// maxHelloSize bounds the first frame, which anybody who connects may send. In bytes.
const maxHelloSize = 4 << 10 // (ours)

// handshakeTimeout is how long both Hellos together may take.
const handshakeTimeout = time.Second // (ours)

// Hello is the first message on a connection, in both directions. Unknown fields are
// ignored, so that old and new versions can talk.
type Hello struct {
	// Version is the sender's ProtocolVersion.
	Version int `msgpack:"v"`
	// Node is the address that the sender's own server is known by.
	Node string `msgpack:"n"`
	// Incarnation is a random number that the sender's process drew at its start.
	Incarnation uint64 `msgpack:"b"`
}

// countFunc counts a frame of so many bytes under a kind.
type countFunc func(kind string, bytes int)

// handshake sends the own Hello and reads the peer's.
func handshake(conn net.Conn, reader *bufio.Reader, own Hello, countSent, countReceived countFunc) (peer Hello, err error) {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer conn.SetDeadline(time.Time{})
	encoded, err := msgpack.Marshal(&own)
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
