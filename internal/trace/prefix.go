package trace

import "encoding/binary"

// prefixMagic is the beginning of a message with a span. msgpack never uses the byte 0xc1, so a
// message without a prefix can't begin with it. (DESIGN 2.2)
var prefixMagic = [4]byte{0xc1, 'B', '3', 1}

// prefixLen is the length of a prefix in bytes. A prefix consists of the magic and five big-endian
// numbers of 8 bytes each.
const prefixLen = len(prefixMagic) + 5*8

// AppendPrefix appends a message prefix with the identifiers and the logical counter of s to b, and
// returns the extended slice.
func AppendPrefix(b []byte, s Span) []byte {
	b = append(b, prefixMagic[:]...)
	for _, n := range [...]uint64{s.Trace.Hi, uint64(s.Trace.Lo), uint64(s.ID), uint64(s.Parent), s.Counter()} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return b
}

// CutPrefix splits a message into the span of its prefix and the plain message after the prefix.
// traced is false if the message has no span. In that case, plain is
//   - the whole message, if it has no complete prefix;
//   - the message without its prefix, if the span ID or the low half of the trace ID is zero.
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
