package consensus

import "curlewwalk/internal/config"

// MessageType identifies the request in a message. The strings are sent over the wire.
type MessageType string

const (
	// MsgPrepare requests the promise to reject all lower terms.
	MsgPrepare MessageType = "prepare"
	// MsgAccept requests the acceptance of a control state under a promised term.
	MsgAccept MessageType = "propose"
	// MsgCommit announces that a majority has accepted a control state.
	MsgCommit MessageType = "settle"
	// MsgRead requests the accepted state. It changes nothing.
	MsgRead MessageType = "read"
	// MsgReadIndex is a MsgRead whose reply omits the control state.
	MsgReadIndex MessageType = "look"
	// MsgJoin requests that the sender's disk be recorded as the disk of a static member.
	MsgJoin MessageType = "sit"
)

// Message is sent to an acceptor, which answers with a Reply. Reads and MsgJoin need only
// Sender and Type. MsgPrepare also needs Term, and MsgAccept and MsgCommit need all fields.
type Message struct {
	Sender   Sender              `msgpack:"f"`
	Type     MessageType         `msgpack:"a"`
	Term     uint64              `msgpack:"e"`
	Position Position            `msgpack:"m"`
	State    config.ControlState `msgpack:"w"`
}
