// Package delta tells one version of a document as its difference from another: what is
// copied from the base, and what is new. Versions of a configuration differ in a few
// bytes of thousands. (DESIGN 8.3)
package delta

import (
	"bytes"
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const (
	// block is the length of the runs of the base that are looked for. (ours)
	block = 16
	// most bounds the result of Apply, as a frame is bounded.
	most = 64 << 20
)

var errForeign = eris.New("the difference does not fit its base")

// A difference is a sequence of operations. Each begins with a number: its lowest bit
// says which it is, the rest how long. A copy is followed by where it begins in the base,
// an insertion by its bytes.
const (
	insertion = 0
	copying   = 1
)

// Make tells target as its difference from base.
func Make(base, target []byte) []byte {
	var d writer
	prefix := common(base, target)
	d.copy(0, prefix)
	inner, rest := base[prefix:], target[prefix:]
	suffix := commonEnd(inner, rest)
	d.middle(inner[:len(inner)-suffix], rest[:len(rest)-suffix], prefix)
	d.copy(len(base)-suffix, suffix)
	d.flush()
	return d.out
}

// Apply makes the target of a difference out of its base.
func Apply(base, difference []byte) ([]byte, error) {
	out := make([]byte, 0, len(base))
	for len(difference) > 0 {
		head, n := binary.Uvarint(difference)
		if n <= 0 || head>>1 > most {
			return nil, errForeign
		}
		difference = difference[n:]
		length := int(head >> 1)
		if len(out)+length > most {
			return nil, errForeign
		}
		if head&1 == insertion {
			if length > len(difference) {
				return nil, errForeign
			}
			out = append(out, difference[:length]...)
			difference = difference[length:]
			continue
		}
		from, n := binary.Uvarint(difference)
		if n <= 0 || from > uint64(len(base)) || length > len(base)-int(from) {
			return nil, errForeign
		}
		difference = difference[n:]
		out = append(out, base[from:int(from)+length]...)
	}
	return out, nil
}

// writer writes a difference. Insertions that follow one another become one.
type writer struct {
	out []byte
	new []byte
}

func (d *writer) copy(from, length int) {
	if length == 0 {
		return
	}
	d.flush()
	d.out = binary.AppendUvarint(d.out, uint64(length)<<1|copying)
	d.out = binary.AppendUvarint(d.out, uint64(from))
}

func (d *writer) flush() {
	if len(d.new) == 0 {
		return
	}
	d.out = binary.AppendUvarint(d.out, uint64(len(d.new))<<1|insertion)
	d.out = append(d.out, d.new...)
	d.new = d.new[:0]
}

// middle writes what lies between a common beginning and a common end; offset is where
// its part of the base begins.
func (d *writer) middle(base, target []byte, offset int) {
	blocks := index(base, target)
	for at := 0; at < len(target); {
		from, length := match(base, target, at, blocks)
		if length == 0 {
			d.new = append(d.new, target[at])
			at++
			continue
		}
		// What was taken for new may belong to the run already.
		back := 0
		for back < len(d.new) && back < from && base[from-back-1] == d.new[len(d.new)-back-1] {
			back++
		}
		d.new = d.new[:len(d.new)-back]
		d.copy(offset+from-back, length+back)
		at += length
	}
}

// index finds the blocks of the base by their bytes; none if there is nothing to find.
func index(base, target []byte) map[[block]byte]int {
	if len(base) < block || len(target) < block {
		return nil
	}
	blocks := make(map[[block]byte]int, len(base)/block)
	for at := 0; at+block <= len(base); at += block {
		key := [block]byte(base[at:])
		if _, ok := blocks[key]; !ok {
			blocks[key] = at
		}
	}
	return blocks
}

// match finds a run of the base that begins at a place of the target.
func match(base, target []byte, at int, blocks map[[block]byte]int) (from, length int) {
	if at+block > len(target) || blocks == nil {
		return 0, 0
	}
	from, ok := blocks[[block]byte(target[at:])]
	if !ok {
		return 0, 0
	}
	return from, common(base[from:], target[at:])
}

// common is how many bytes two texts begin with alike.
func common(a, b []byte) int {
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

// commonEnd is how many bytes two texts end with alike.
func commonEnd(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-n-1] == b[len(b)-n-1] {
		n++
	}
	return n
}
