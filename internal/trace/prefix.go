package trace

import "encoding/binary"

// prefixMagic begins a message with a span. 0xc1 is the one byte that msgpack never writes,
// so that no plain message can begin with it. (DESIGN 2.2)
var prefixMagic = [4]byte{0xc1, 'B', '3', 1}

// prefixLen is the length of a prefix in bytes: the magic, and five numbers of 8 bytes,
// the most significant byte first.
const prefixLen = len(prefixMagic) + 5*8

// AppendPrefix appends the prefix of a message, with the identifiers and the counter of s.
func AppendPrefix(b []byte, s Span) []byte {
	b = append(b, prefixMagic[:]...)
	for _, n := range [...]uint64{s.Trace.Hi, uint64(s.Trace.Lo), uint64(s.ID), uint64(s.Parent), s.Counter()} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return b
}

// CutPrefix splits a message into its span and the plain message behind the prefix; traced
// is false if there is no span. A message without a complete prefix is returned as it is;
// one whose prefix has no identifiers is returned without the prefix.
func CutPrefix(b []byte) (s Span, plain []byte, traced bool) {
	if len(b) < prefixLen || [4]byte(b[:4]) != prefixMagic {
		return Span{}, b, false
	}
	var n [5]uint64
	for i := range n {
		n[i] = binary.BigEndian.Uint64(b[len(prefixMagic)+8*i:])
	}
	if n[1] == 0 || n[2] == 0 {
		return Span{}, b[prefixLen:], false
	}
	return Join(TraceID{Hi: n[0], Lo: ID(n[1])}, ID(n[2]), ID(n[3]), n[4]), b[prefixLen:], true
}
