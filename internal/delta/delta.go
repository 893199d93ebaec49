// Package delta encodes one version of a document as its difference from another: what is
// copied from the base, and what is inserted. Versions of a configuration differ in a few bytes
// of thousands.
//
// A difference is a sequence of operations. Each begins with a varint: its lowest bit is the
// operation, the rest the length in bytes. A copy is followed by a varint with the offset in the
// base, an insertion by its bytes. (DESIGN 8.3)
package delta

import (
	"bytes"
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const (
	// blockSize is the length of the runs of the base that are looked for, in bytes.
	blockSize = 16 // (ours)
	// maxOutput bounds the result of Apply, as a frame of the transport is bounded, in bytes.
	maxOutput = 64 << 20
)

// ErrBaseMismatch is returned for a difference that is malformed or was made from another base.
var ErrBaseMismatch = eris.New("the difference does not fit its base")

// The operations.
const (
	opInsert = 0
	opCopy   = 1
)

// Diff encodes target as its difference from base. It is never an error; if the two have little
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

// Apply makes the target of a difference from its base. A difference that was made from another
// base may give an ErrBaseMismatch or any bytes: whoever needs to know compares a digest.
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

// encoder writes a difference. Insertions that follow one another become one.
type encoder struct {
	out []byte
	// inserted are the bytes of the insertion that is not written yet.
	inserted []byte
}

// copy writes a copy of a run of the base.
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

// diffMiddle writes what lies between a common prefix and a common suffix; offset is where its
// part of the base begins.
func (e *encoder) diffMiddle(base, target []byte, offset int) {
	blocks := indexBlocks(base, target)
	for at := 0; at < len(target); {
		from, length := findMatch(base, target, at, blocks)
		if length == 0 {
			e.inserted = append(e.inserted, target[at])
			at++
			continue
		}
		// The last bytes that were taken for inserted may belong to the run already.
		back := commonSuffix(base[:from], e.inserted)
		e.inserted = e.inserted[:len(e.inserted)-back]
		e.copy(offset+from-back, length+back)
		at += length
	}
}

// indexBlocks finds the blocks of the base by their bytes; nil if there is nothing to find.
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

// findMatch finds a run of the base that equals the target from an offset on; a length of zero
// is none.
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

// commonPrefix is how many bytes two texts begin with alike.
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

// commonSuffix is how many bytes two texts end with alike.
func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-n-1] == b[len(b)-n-1] {
		n++
	}
	return n
}
