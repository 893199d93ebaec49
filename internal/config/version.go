package config

import (
	"crypto/sha256"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/delta"
)

// Fingerprint tells versions of a document apart: it is a cryptographic digest.
type Fingerprint [16]byte

func newFingerprint(b []byte) Fingerprint {
	sum := sha256.Sum256(b)
	return Fingerprint(sum[:16])
}

// Version is a document in the form in which versions are compared: its encoded bytes and
// their fingerprint. Differences are told and applied between two of these only. (DESIGN 8.3)
type Version struct {
	encoded     []byte
	Fingerprint Fingerprint
}

// NewVersion encodes a document, mostly a Word.
func NewVersion(document any) (Version, error) {
	b, err := msgpack.Marshal(document)
	return Version{encoded: b, Fingerprint: newFingerprint(b)}, err
}

// Decode decodes the document.
func (v Version) Decode(document any) error { return msgpack.Unmarshal(v.encoded, document) }

// Size is the number of encoded bytes.
func (v Version) Size() int { return len(v.encoded) }

// Patch is a version, told as its difference from another one.
type Patch struct {
	// Base and Result are the fingerprints of the version that the difference was made from,
	// and of the one that it makes.
	Base   Fingerprint `msgpack:"b"`
	Result Fingerprint `msgpack:"r"`
	// Delta is empty if the two are the same version.
	Delta []byte `msgpack:"d,omitempty"`
}

// DiffFrom tells v as its difference from base. False if that is no shorter than a
// half of v.
func (v Version) DiffFrom(base Version) (Patch, bool) {
	p := Patch{Base: base.Fingerprint, Result: v.Fingerprint}
	if base.Fingerprint != v.Fingerprint {
		p.Delta = delta.Diff(base.encoded, v.encoded)
	}
	return p, len(p.Delta) <= len(v.encoded)/2
}

// Apply makes the version that a patch tells. False if the patch was made from another
// version, or makes anything else than it says: then nothing of it may be used.
func (v Version) Apply(p Patch) (Version, bool) {
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
