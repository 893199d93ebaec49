package consensus

import "curlewwalk/internal/config"

// MessageType is what a message asks of an acceptor. The strings go over the wire.
type MessageType string

const (
	// MsgPrepare asks for the promise to refuse all lower terms.
	MsgPrepare MessageType = "prepare"
	// MsgAccept asks to accept a control state under a promised term.
	MsgAccept MessageType = "propose"
	// MsgCommit tells that a majority has accepted a control state.
	MsgCommit MessageType = "settle"
	// MsgRead asks what is accepted, and changes nothing.
	MsgRead MessageType = "read"
	// MsgReadIndex is a MsgRead whose reply leaves the control state out.
	MsgReadIndex MessageType = "look"
	// MsgJoin asks to record the sender's disk as the one of a static member.
	MsgJoin MessageType = "sit"
)

// Message is sent to an acceptor, which answers with a Reply.
type Message struct {
	Sender   Sender              `msgpack:"f"`
	Type     MessageType         `msgpack:"a"`
	Term     uint64              `msgpack:"e"`
	Position Position            `msgpack:"m"`
	State    config.ControlState `msgpack:"w"`
}
