package proxy

import (
	"bytes"
	"os"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/tests/golden"
)

// The body that clients get for a request that has no response is the same as ever.
func TestGoldenRefusal(t *testing.T) {
	golden.Value(t, golden.JSON, "refusal.json", &localReplyBody{})
	r := newLocalReply(LocalReply{Status: 503, Outcome: routing.NotRun, Reason: "a reason", TraceID: "0123456789abcdef", RetryAfter: time.Second})
	golden.Check(t, "own-response.body", r.Body)
}

// A response that is stored for an Idempotency-Key decodes as it was, and is the same bytes.
func TestGoldenKeptResponse(t *testing.T) {
	var r Response
	golden.Fill(&r, golden.Msgpack.Tag)
	r.Status = 201
	golden.Check(t, "kept-response.msgpack", r.marshal())
	stored, err := os.ReadFile(golden.Path("kept-response.msgpack"))
	if err != nil {
		t.Fatal(err)
	}
	read, ok := unmarshalResponse(stored)
	if !ok || !bytes.Equal(read.marshal(), stored) {
		t.Errorf("%+v", read)
	}

	var record keyreplication.Record
	golden.Fill(&record, golden.Msgpack.Tag)
	record.Response = r.marshal()
	encoded, err := golden.Msgpack.Marshal(&record)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "entry-with-response.msgpack", encoded)
}
