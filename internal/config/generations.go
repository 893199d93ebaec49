package config

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// MaxAcceptedGenerations is how many of the newest taken numbers a word remembers.
const MaxAcceptedGenerations = 64 // (ours)

// digestBytes is how much of a SHA-256 is kept of a configuration.
const digestBytes = 16

// AcceptedGeneration is the record of a configuration that was taken under the operator's own
// number. (DESIGN 6.3)
type AcceptedGeneration struct {
	Generation uint64 `msgpack:"g" json:"generation"`
	Digest     []byte `msgpack:"d" json:"digest"`
}

// SubmissionDigest tells a configuration from others: it is of what the operator sent, or, where
// no adapter made another form of that, of the configuration itself.
func SubmissionDigest(submitted, configuration []byte) []byte {
	if submitted == nil {
		submitted = configuration
	}
	sum := sha256.Sum256(submitted)
	return sum[:digestBytes]
}

// LookupGeneration tells whether this word or one before it took a configuration under a number,
// and whether it had that digest. known is false if none was, or one too long ago.
func (state ControlState) LookupGeneration(generation uint64, digest []byte) (matches, known bool) {
	for _, t := range state.AcceptedGenerations {
		if t.Generation == generation {
			return bytes.Equal(t.Digest, digest), true
		}
	}
	// A word of an older version has no record, but what was sent last.
	if generation == state.Generation && state.Submitted != nil {
		return bytes.Equal(SubmissionDigest(state.Submitted, nil), digest), true
	}
	return false, false
}

// AppendGeneration is the record with one more configuration; the oldest go.
func (state ControlState) AppendGeneration(generation uint64, digest []byte) []AcceptedGeneration {
	out := append(slices.Clone(state.AcceptedGenerations), AcceptedGeneration{Generation: generation, Digest: digest})
	return out[max(0, len(out)-MaxAcceptedGenerations):]
}
