package consensus

import (
	"testing"

	"curlewwalk/tests/golden"
)

// The encoding of a message with a delta is unchanged.
func TestGoldenDeltaMessage(t *testing.T) {
	golden.Value(t, golden.Msgpack, "patched-ballot.msgpack", &deltaMessage{})
}

// The keys in both kinds of files are unchanged.
func TestGoldenFileKeys(t *testing.T) {
	golden.Value(t, golden.JSON, "oath.json", &promiseFile{})
	golden.Value(t, golden.JSON, "word-head.json", &stateHeader{})
}
