package transport

// ProtocolVersion is the version of our messages, told in the greeting.
const ProtocolVersion = 1

// Hello is the first message on a connection, both ways. Unknown fields are
// ignored, so that old and new versions can talk.
type Hello struct {
	Version     int    `msgpack:"v"`
	Node        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"b"`
}
