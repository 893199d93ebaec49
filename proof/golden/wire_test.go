package golden_test

import (
	"testing"

	"curlewwalk/collect"
	"curlewwalk/consensus"
	"curlewwalk/custody"
	"curlewwalk/desired"
	"curlewwalk/feed"
	"curlewwalk/membership"
	"curlewwalk/proof/golden"
	"curlewwalk/relay"
	"curlewwalk/wire"
)

// Every message that processes send one another is the bytes that it has always been.
// Those of types that are not exported are in their packages' own tests.
func TestMessages(t *testing.T) {
	for name, sample := range map[string]any{
		"greeting":         &wire.Greeting{},
		"heartbeat":        &membership.Heartbeat{},
		"probe":            &membership.Probe{},
		"gossip":           &membership.Gossip{},
		"gossip-response":  &membership.Gossiped{},
		"follow":           &feed.Follow{},
		"follow-response":  &feed.News{},
		"ballot":           &consensus.Ballot{},
		"ballot-response":  &consensus.Vote{},
		"order":            &consensus.Order{},
		"order-response":   &consensus.Answer{},
		"patch":            &desired.Patch{},
		"configuration":    &desired.Word{},
		"seat":             &consensus.Asker{},
		"publish":          &collect.Batch{},
		"publish-response": &collect.Taken{},
		"trace":            &collect.Query{},
		"hold":             &custody.Entry{},
		"hold-response":    &custody.Held{},
		"handover":         &custody.Handover{},
		"handed":           &custody.Handed{},
		"attempt":          &relay.Attempt{},
		"attempt-response": &relay.AttemptResponse{},
		"recall":           &relay.Recall{},
		"response":         &relay.Response{},
	} {
		t.Run(name, func(t *testing.T) { golden.Value(t, golden.Msgpack, "wire/"+name+".msgpack", sample) })
	}
}
