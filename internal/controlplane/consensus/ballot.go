package consensus

import "curlewwalk/internal/config"

// Act is what a ballot asks of an acceptor.
type Act string

// The acts.
const (
	Prepare Act = "prepare"
	Propose Act = "propose"
	Settle  Act = "settle"
	Read    Act = "read"
	Look    Act = "look" // a read without the word
	Sit     Act = "sit"
)

// Ballot is a message to an acceptor.
type Ballot struct {
	From  From        `msgpack:"f"`
	Act   Act         `msgpack:"a"`
	Epoch uint64      `msgpack:"e"`
	Mark  Mark        `msgpack:"m"`
	Word  config.Word `msgpack:"w"`
}
