package config

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// MaxAcceptedGenerations is how many accepted generations a control state remembers.
const MaxAcceptedGenerations = 64 // (ours)

// digestBytes is how many bytes of a SHA-256 digest are kept.
const digestBytes = 16

// AcceptedGeneration records that a configuration was accepted under a generation, the operator's
// own number for it. (DESIGN 6.3)
type AcceptedGeneration struct {
	Generation uint64 `msgpack:"g" json:"generation"`
	// Digest is the SubmissionDigest of the configuration.
	Digest []byte `msgpack:"d" json:"digest"`
}

// SubmissionDigest returns the digest that identifies a configuration: that of what the operator
// submitted or, if submitted is nil because no adapter translated it, of the configuration itself.
func SubmissionDigest(submitted, configuration []byte) []byte {
	if submitted == nil {
		submitted = configuration
	}
	sum := sha256.Sum256(submitted)
	return sum[:digestBytes]
}

// LookupGeneration reports whether a configuration was accepted under a generation, in this control
// state or one before it, and whether that had the digest. known is false if none was, or too many
// have been accepted since.
func (s ControlState) LookupGeneration(generation uint64, digest []byte) (matches, known bool) {
	for _, t := range s.AcceptedGenerations {
		if t.Generation == generation {
			return bytes.Equal(t.Digest, digest), true
		}
	}
	// The control state of an older version has no records, but what was submitted last.
	if generation == s.Generation && s.Submitted != nil {
		return bytes.Equal(SubmissionDigest(s.Submitted, nil), digest), true
	}
	return false, false
}

// AppendGeneration returns AcceptedGenerations with one more; the oldest is dropped if there are too
// many.
func (s ControlState) AppendGeneration(generation uint64, digest []byte) []AcceptedGeneration {
	out := append(slices.Clone(s.AcceptedGenerations), AcceptedGeneration{Generation: generation, Digest: digest})
	return out[max(0, len(out)-MaxAcceptedGenerations):]
}
