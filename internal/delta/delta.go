// Package delta encodes one version of a document as its difference from another version, the base.
// The difference copies runs of the base and inserts new bytes. Versions of a configuration differ
// in a few bytes out of thousands.
//
// A difference is a sequence of operations. Each operation begins with a varint. The lowest bit of
// the varint is the kind of the operation, and the other bits are the length in bytes. A copy
// continues with a varint that holds the offset in the base. An insertion continues with the
// inserted bytes. (DESIGN 8.3)
package delta

import (
	"bytes"
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const (
	// blockSize is the length in bytes of the blocks of the base that Diff indexes. The blocks do
	// not overlap. Between the common prefix and the common suffix, Diff finds only matches that
	// contain a whole block.
	blockSize = 16
	// maxOutput bounds the result of Apply in bytes. The frames of the transport are bounded too
	// (transport.MaxFrameSize).
	maxOutput = 64 << 20
)

// ErrBaseMismatch is returned by Apply for a difference that is malformed or was made from another
// base.
var ErrBaseMismatch = eris.New("apply delta: malformed, or made from another base")

// Kinds of operations.
const (
	opInsert = 0
	opCopy   = 1
)

// Diff returns the encoded difference of target from base. It never fails. If the two have little
// in common, the result may be longer than target.
func Diff(base, target []byte) []byte {
	var e encoder
	prefix := commonPrefix(base, target)
	e.copy(0, prefix)
	inner, rest := base[prefix:], target[prefix:]
	suffix := commonSuffix(inner, rest)
	e.diffMiddle(inner[:len(inner)-suffix], rest[:len(rest)-suffix], prefix)
	e.copy(len(base)-suffix, suffix)
	e.flushInsertion()
	return e.out
}

// Apply returns the target of a difference from base. If the difference was made from another base,
// Apply returns either ErrBaseMismatch or arbitrary bytes. Callers that need to detect this must
// compare a digest of the result.
func Apply(base, difference []byte) ([]byte, error) {
	out := make([]byte, 0, len(base))
	for len(difference) > 0 {
		head, n := binary.Uvarint(difference)
		if n <= 0 || head>>1 > maxOutput {
			return nil, ErrBaseMismatch
		}
		difference = difference[n:]
		length := int(head >> 1)
		if len(out)+length > maxOutput {
			return nil, ErrBaseMismatch
		}
		if head&1 == opInsert {
			if length > len(difference) {
				return nil, ErrBaseMismatch
			}
			out = append(out, difference[:length]...)
			difference = difference[length:]
			continue
		}
		from, n := binary.Uvarint(difference)
		if n <= 0 || from > uint64(len(base)) || length > len(base)-int(from) {
			return nil, ErrBaseMismatch
		}
		difference = difference[n:]
		out = append(out, base[from:int(from)+length]...)
	}
	return out, nil
}

// encoder builds a difference. It merges consecutive insertions into one.
type encoder struct {
	out []byte
	// inserted holds the bytes of the pending insertion.
	inserted []byte
}

// copy writes a copy operation for a run of the base.
func (e *encoder) copy(from, length int) {
	if length == 0 {
		return
	}
	e.flushInsertion()
	e.out = binary.AppendUvarint(e.out, uint64(length)<<1|opCopy)
	e.out = binary.AppendUvarint(e.out, uint64(from))
}

// flushInsertion writes the pending insertion.
func (e *encoder) flushInsertion() {
	if len(e.inserted) == 0 {
		return
	}
	e.out = binary.AppendUvarint(e.out, uint64(len(e.inserted))<<1|opInsert)
	e.out = append(e.out, e.inserted...)
	e.inserted = e.inserted[:0]
}

// diffMiddle writes the difference between the common prefix and the common suffix. offset is the
// position of this part in the whole base.
func (e *encoder) diffMiddle(base, target []byte, offset int) {
	blocks := indexBlocks(base, target)
	for at := 0; at < len(target); {
		from, length := findMatch(base, target, at, blocks)
		if length == 0 {
			e.inserted = append(e.inserted, target[at])
			at++
			continue
		}
		// The last bytes of the pending insertion may already belong to the matching run.
		back := commonSuffix(base[:from], e.inserted)
		e.inserted = e.inserted[:len(e.inserted)-back]
		e.copy(offset+from-back, length+back)
		at += length
	}
}

// indexBlocks returns a map from the blocks of the base to their offsets. Of equal blocks, it holds
// the first. It returns nil if base or target is shorter than a block.
func indexBlocks(base, target []byte) map[[blockSize]byte]int {
	if len(base) < blockSize || len(target) < blockSize {
		return nil
	}
	blocks := make(map[[blockSize]byte]int, len(base)/blockSize)
	for at := 0; at+blockSize <= len(base); at += blockSize {
		key := [blockSize]byte(base[at:])
		if _, ok := blocks[key]; !ok {
			blocks[key] = at
		}
	}
	return blocks
}

// findMatch returns a run of the base that equals the bytes of the target that begin at offset at.
// A length of zero means that there is no match.
func findMatch(base, target []byte, at int, blocks map[[blockSize]byte]int) (from, length int) {
	if at+blockSize > len(target) || blocks == nil {
		return 0, 0
	}
	from, ok := blocks[[blockSize]byte(target[at:])]
	if !ok {
		return 0, 0
	}
	return from, commonPrefix(base[from:], target[at:])
}

// commonPrefix returns the length of the longest common prefix of a and b.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	if bytes.Equal(a[:n], b[:n]) {
		return n
	}
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// commonSuffix returns the length of the longest common suffix of a and b.
func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-n-1] == b[len(b)-n-1] {
		n++
	}
	return n
}
