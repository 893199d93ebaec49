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

// TestMessages checks that the encodings of the messages between processes have not changed. Messages
// of unexported types are checked by the tests of their packages.
func TestMessages(t *testing.T) {
	for name, sample := range map[string]any{
		"greeting":         &transport.Hello{},
		"heartbeat":        &membership.Heartbeat{},
		"probe":            &membership.Probe{},
		"gossip":           &membership.GossipRequest{},
		"gossip-response":  &membership.GossipResponse{},
		"follow":           &watch.Request{},
		"follow-response":  &watch.Updates{},
		"ballot":           &consensus.Message{},
		"ballot-response":  &consensus.Reply{},
		"order":            &consensus.Command{},
		"order-response":   &consensus.CommandResult{},
		"patch":            &config.Patch{},
		"configuration":    &config.ControlState{},
		"seat":             &consensus.JoinRequest{},
		"publish":          &tracestore.Batch{},
		"publish-response": &tracestore.PublishReply{},
		"trace":            &tracestore.Query{},
		"hold":             &keyreplication.Record{},
		"hold-response":    &keyreplication.StoreReply{},
		"handover":         &keyreplication.HandoverRequest{},
		"handed":           &keyreplication.HandoverReply{},
		"attempt":          &proxy.Attempt{},
		"attempt-response": &proxy.AttemptResponse{},
		"recall":           &proxy.CancelRequest{},
		"response":         &proxy.Response{},
	} {
		t.Run(name, func(t *testing.T) { golden.Value(t, golden.Msgpack, "wire/"+name+".msgpack", sample) })
	}
}
