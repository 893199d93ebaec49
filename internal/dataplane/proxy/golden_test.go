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

// TestGoldenLocalReply checks that the body of a local reply stays compatible with earlier
// versions.
func TestGoldenLocalReply(t *testing.T) {
	golden.Value(t, golden.JSON, "refusal.json", &localReplyBody{})
	r := newLocalReply(LocalReply{Status: 503, Outcome: routing.NotRun, Reason: "a reason", TraceID: "0123456789abcdef", RetryAfter: time.Second})
	golden.Check(t, "own-response.body", r.Body)
}

// TestGoldenStoredResponse checks that a response stored for an Idempotency-Key decodes unchanged
// and encodes to the same bytes as in earlier versions.
func TestGoldenStoredResponse(t *testing.T) {
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
		t.Errorf("stored response decodes to %+v, which encodes differently", read)
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
