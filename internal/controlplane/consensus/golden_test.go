package consensus

import (
	"testing"

	"curlewwalk/tests/golden"
)

// A ballot that has its configuration as a difference is the bytes that it has always been.
func TestGoldenPatchedBallot(t *testing.T) {
	golden.Value(t, golden.Msgpack, "patched-ballot.msgpack", &deltaMessage{})
}

// The two kinds of file have the keys that they have always had.
func TestGoldenFileKeys(t *testing.T) {
	golden.Value(t, golden.JSON, "oath.json", &promiseFile{})
	golden.Value(t, golden.JSON, "word-head.json", &stateHeader{})
}
