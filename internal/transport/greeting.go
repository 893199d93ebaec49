package transport

// Version is the version of our messages, told in the greeting.
const Version = 1

// Greeting is the first message on a connection, both ways. Unknown fields are
// ignored, so that old and new versions can talk.
type Greeting struct {
	Version int    `msgpack:"v"`
	Node    string `msgpack:"n"`
	Boot    uint64 `msgpack:"b"`
}
