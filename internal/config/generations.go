package config

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// MaxAcceptedGenerations is the number of accepted generations that a control state stores.
const MaxAcceptedGenerations = 64

// digestBytes is the length in bytes to which SHA-256 digests are truncated.
const digestBytes = 16

// AcceptedGeneration records that a configuration was accepted under a generation, the number that
// the operator gives a configuration. (DESIGN 6.3)
type AcceptedGeneration struct {
	Generation uint64 `msgpack:"g" json:"generation"`
	// Digest is the SubmissionDigest of the configuration.
	Digest []byte `msgpack:"d" json:"digest"`
}

// SubmissionDigest returns the digest that identifies a configuration. It is the digest of the
// document that the operator submitted. If submitted is nil because no adapter translated the
// document, it is the digest of the configuration.
func SubmissionDigest(submitted, configuration []byte) []byte {
	if submitted == nil {
		submitted = configuration
	}
	sum := sha256.Sum256(submitted)
	return sum[:digestBytes]
}

// LookupGeneration looks up a configuration that was accepted under a generation, in this control
// state or an earlier one. matches reports whether that configuration had the digest. known is
// false if no configuration was accepted under the generation, or if its record was dropped because
// too many configurations have been accepted since.
func (s ControlState) LookupGeneration(generation uint64, digest []byte) (matches, known bool) {
	for _, t := range s.AcceptedGenerations {
		if t.Generation == generation {
			return bytes.Equal(t.Digest, digest), true
		}
	}
	// A control state that an older version of the software wrote has no records. It stores only
	// the last submitted document.
	if generation == s.Generation && s.Submitted != nil {
		return bytes.Equal(SubmissionDigest(s.Submitted, nil), digest), true
	}
	return false, false
}

// AppendGeneration returns AcceptedGenerations with an additional entry. If there are more than
// MaxAcceptedGenerations entries, the oldest one is dropped.
func (s ControlState) AppendGeneration(generation uint64, digest []byte) []AcceptedGeneration {
	out := append(slices.Clone(s.AcceptedGenerations), AcceptedGeneration{Generation: generation, Digest: digest})
	return out[max(0, len(out)-MaxAcceptedGenerations):]
}
