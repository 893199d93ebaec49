package config

import (
	"crypto/sha256"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/delta"
)

// fingerprintBytes is how many bytes of a SHA-256 digest a Fingerprint has.
const fingerprintBytes = 16

// Fingerprint is the digest that identifies a version of a document.
type Fingerprint [fingerprintBytes]byte

func newFingerprint(b []byte) Fingerprint {
	sum := sha256.Sum256(b)
	return Fingerprint(sum[:fingerprintBytes])
}

// Version is one version of a document: its encoding and the fingerprint of that. Patches are made
// and applied between two versions. The zero value is no version. (DESIGN 8.3)
type Version struct {
	encoded     []byte
	Fingerprint Fingerprint
}

// NewVersion encodes a document, as a ControlState.
func NewVersion(document any) (Version, error) {
	b, err := msgpack.Marshal(document)
	return Version{encoded: b, Fingerprint: newFingerprint(b)}, err
}

// Decode decodes the document into the value that the pointer document points to.
func (v Version) Decode(document any) error { return msgpack.Unmarshal(v.encoded, document) }

// Size returns the number of bytes of the encoding.
func (v Version) Size() int { return len(v.encoded) }

// Patch is a version as its difference from another one.
type Patch struct {
	// Base and Result are the fingerprints of the version that the patch applies to and of the
	// one that it makes.
	Base   Fingerprint `msgpack:"b"`
	Result Fingerprint `msgpack:"r"`
	// Delta is the difference between the encodings, see package delta; empty if the two are
	// the same version.
	Delta []byte `msgpack:"d,omitempty"`
}

// DiffFrom returns the patch that makes v from base. worthwhile reports whether it is no longer
// than half of v.
func (v Version) DiffFrom(base Version) (patch Patch, worthwhile bool) {
	patch = Patch{Base: base.Fingerprint, Result: v.Fingerprint}
	if base.Fingerprint != v.Fingerprint {
		patch.Delta = delta.Diff(base.encoded, v.encoded)
	}
	return patch, len(patch.Delta) <= len(v.encoded)/2
}

// Apply returns the version that a patch makes from v. ok is false if the patch is from another
// version, or makes anything else than it says; nothing of it may be used then.
func (v Version) Apply(p Patch) (result Version, ok bool) {
	if v.encoded == nil || v.Fingerprint != p.Base {
		return Version{}, false
	}
	if p.Base == p.Result {
		return v, true
	}
	b, err := delta.Apply(v.encoded, p.Delta)
	if err != nil || newFingerprint(b) != p.Result {
		return Version{}, false
	}
	return Version{encoded: b, Fingerprint: p.Result}, true
}
