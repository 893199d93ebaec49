package golden_test

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/transport"
	"curlewwalk/internal/watch"
	"curlewwalk/tests/golden"
)

// Every message that processes send one another is the bytes that it has always been.
// Those of types that are not exported are in their packages' own tests.
func TestMessages(t *testing.T) {
	for name, sample := range map[string]any{
		"greeting":         &transport.Greeting{},
		"heartbeat":        &membership.Heartbeat{},
		"probe":            &membership.Probe{},
		"gossip":           &membership.Gossip{},
		"gossip-response":  &membership.Gossiped{},
		"follow":           &watch.Follow{},
		"follow-response":  &watch.News{},
		"ballot":           &consensus.Ballot{},
		"ballot-response":  &consensus.Vote{},
		"order":            &consensus.Order{},
		"order-response":   &consensus.Answer{},
		"patch":            &config.Patch{},
		"configuration":    &config.Word{},
		"seat":             &consensus.Asker{},
		"publish":          &tracestore.Batch{},
		"publish-response": &tracestore.Taken{},
		"trace":            &tracestore.Query{},
		"hold":             &keyreplication.Entry{},
		"hold-response":    &keyreplication.Held{},
		"handover":         &keyreplication.Handover{},
		"handed":           &keyreplication.Handed{},
		"attempt":          &proxy.Attempt{},
		"attempt-response": &proxy.AttemptResponse{},
		"recall":           &proxy.Recall{},
		"response":         &proxy.Response{},
	} {
		t.Run(name, func(t *testing.T) { golden.Value(t, golden.Msgpack, "wire/"+name+".msgpack", sample) })
	}
}
