package trace

// TraceID identifies a trace, which is the tree of spans that a request causes. A trace that begins
// in this system has an ID of 64 bits. An ID sent by a client may have 128 bits.
type TraceID struct {
	Hi uint64 `msgpack:"h,omitempty"`
	Lo ID     `msgpack:"l"`
}

// IsZero reports whether t is the zero TraceID, which identifies no trace.
func (t TraceID) IsZero() bool { return t.Hi == 0 && t.Lo == 0 }

// String returns the B3 form of the ID: 16 hex digits, or 32 if the high half is not zero.
func (t TraceID) String() string {
	if t.Hi == 0 {
		return t.Lo.String()
	}
	return ID(t.Hi).String() + t.Lo.String()
}

// ParseTraceID parses a trace ID of 16 or 32 hex digits. ok is false if s has any other form, or if
// the low half is zero.
func ParseTraceID(s string) (id TraceID, ok bool) {
	if len(s) != 32 {
		lo, ok := ParseID(s)
		return TraceID{Lo: lo}, ok
	}
	if s[:16] == "0000000000000000" {
		lo, ok := ParseID(s[16:])
		return TraceID{Lo: lo}, ok
	}
	hi, okHi := ParseID(s[:16])
	lo, okLo := ParseID(s[16:])
	return TraceID{Hi: uint64(hi), Lo: lo}, okHi && okLo
}
