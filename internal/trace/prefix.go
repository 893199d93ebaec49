package trace

import "encoding/binary"

// prefixMagic opens a traced message. 0xc1 is the one byte that msgpack never
// writes, so no plain message can begin so. (DESIGN 2.2)
var prefixMagic = [4]byte{0xc1, 'B', '3', 1}

const prefixLen = len(prefixMagic) + 5*8

// AppendPrefix writes the identifiers of s at the start of a message.
func AppendPrefix(b []byte, s Span) []byte {
	b = append(b, prefixMagic[:]...)
	for _, n := range [...]uint64{s.Trace.Hi, uint64(s.Trace.Lo), uint64(s.ID), uint64(s.Parent), s.Counter()} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return b
}

// CutPrefix splits a message into its span and its plain part. A message
// without a whole prefix comes back untouched, to be reread as plain.
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
