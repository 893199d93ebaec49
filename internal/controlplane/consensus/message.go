package consensus

import "curlewwalk/internal/config"

// MessageType is what a ballot asks of an acceptor.
type MessageType string

// The acts.
const (
	MsgPrepare   MessageType = "prepare"
	MsgAccept    MessageType = "propose"
	MsgCommit    MessageType = "settle"
	MsgRead      MessageType = "read"
	MsgReadIndex MessageType = "look" // a read without the word
	MsgJoin      MessageType = "sit"
)

// Message is a message to an acceptor.
type Message struct {
	Sender   Sender              `msgpack:"f"`
	Type     MessageType         `msgpack:"a"`
	Term     uint64              `msgpack:"e"`
	Position Position            `msgpack:"m"`
	State    config.ControlState `msgpack:"w"`
}
