package config

import (
	"crypto/sha256"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/delta"
)

// fingerprintBytes is the length in bytes to which the SHA-256 digest of a Fingerprint is
// truncated.
const fingerprintBytes = 16

// Fingerprint is the digest that identifies a version of a document.
type Fingerprint [fingerprintBytes]byte

func newFingerprint(b []byte) Fingerprint {
	sum := sha256.Sum256(b)
	return Fingerprint(sum[:fingerprintBytes])
}

// Version is one version of a document: its encoding and the fingerprint of the encoding. The
// document is usually a ControlState, but may be any value, such as a consensus.Command. A Patch
// describes the difference between two versions. The zero value is not a valid version.
// (DESIGN 8.3)
type Version struct {
	encoded     []byte
	Fingerprint Fingerprint
}

// NewVersion encodes a document, such as a ControlState.
func NewVersion(document any) (Version, error) {
	b, err := msgpack.Marshal(document)
	return Version{encoded: b, Fingerprint: newFingerprint(b)}, err
}

// Decode decodes the version into the value that document points to.
func (v Version) Decode(document any) error { return msgpack.Unmarshal(v.encoded, document) }

// Size returns the size of the encoding in bytes.
func (v Version) Size() int { return len(v.encoded) }

// Patch is the difference between two versions.
type Patch struct {
	// Base is the fingerprint of the version that the patch applies to. Result is the fingerprint
	// of the version that the patch produces.
	Base   Fingerprint `msgpack:"b"`
	Result Fingerprint `msgpack:"r"`
	// Delta is the difference between the two encodings in the format of package delta. It is empty
	// if Base and Result are the same version.
	Delta []byte `msgpack:"d,omitempty"`
}

// DiffFrom returns the patch that produces v from base. worthwhile reports whether the patch is at
// most half as long as the encoding of v.
func (v Version) DiffFrom(base Version) (patch Patch, worthwhile bool) {
	patch = Patch{Base: base.Fingerprint, Result: v.Fingerprint}
	if base.Fingerprint != v.Fingerprint {
		patch.Delta = delta.Diff(base.encoded, v.encoded)
	}
	return patch, len(patch.Delta) <= len(v.encoded)/2
}

// Apply returns the version that a patch produces from v. ok is false if the patch has another base
// than v, or if the result does not have the fingerprint p.Result. In that case the result must not
// be used.
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
