package config

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// TakenMost is how many of the newest taken numbers a word remembers.
const TakenMost = 64 // (ours)

// digestBytes is how much of a SHA-256 is kept of a configuration.
const digestBytes = 16

// Taken is the record of a configuration that was taken under the operator's own
// number. (DESIGN 6.3)
type Taken struct {
	Generation uint64 `msgpack:"g" json:"generation"`
	Digest     []byte `msgpack:"d" json:"digest"`
}

// Digest tells a configuration from others: it is of what the operator sent, or, where
// no adapter made another form of that, of the configuration itself.
func Digest(sent, desired []byte) []byte {
	if sent == nil {
		sent = desired
	}
	sum := sha256.Sum256(sent)
	return sum[:digestBytes]
}

// TakenAs tells whether this word or one before it took a configuration under a number,
// and whether it had that digest. known is false if none was, or one too long ago.
func (w Word) TakenAs(number uint64, digest []byte) (same, known bool) {
	for _, t := range w.Taken {
		if t.Generation == number {
			return bytes.Equal(t.Digest, digest), true
		}
	}
	// A word of an older version has no record, but what was sent last.
	if number == w.Generation && w.Sent != nil {
		return bytes.Equal(Digest(w.Sent, nil), digest), true
	}
	return false, false
}

// Take is the record with one more configuration; the oldest go.
func (w Word) Take(number uint64, digest []byte) []Taken {
	out := append(slices.Clone(w.Taken), Taken{Generation: number, Digest: digest})
	return out[max(0, len(out)-TakenMost):]
}
