package consensus

import (
	"testing"

	"curlewwalk/tests/golden"
)

// A message with its control state as a delta has the same bytes as ever.
func TestGoldenDeltaMessage(t *testing.T) {
	golden.Value(t, golden.Msgpack, "patched-ballot.msgpack", &deltaMessage{})
}

// The two kinds of file have the same keys as ever.
func TestGoldenFileKeys(t *testing.T) {
	golden.Value(t, golden.JSON, "oath.json", &promiseFile{})
	golden.Value(t, golden.JSON, "word-head.json", &stateHeader{})
}
