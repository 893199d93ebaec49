package trace

// TraceID identifies a trace, the tree of spans that a request causes. It has 64 bits where a
// trace begins here, and may have 128 where a client sends it.
type TraceID struct {
	Hi uint64 `msgpack:"h,omitempty"`
	Lo ID     `msgpack:"l"`
}

// IsZero reports whether there is no trace.
func (t TraceID) IsZero() bool { return t.Hi == 0 && t.Lo == 0 }

// String returns the hex form of B3: 16 digits, or 32 if the high half is set.
func (t TraceID) String() string {
	if t.Hi == 0 {
		return t.Lo.String()
	}
	return ID(t.Hi).String() + t.Lo.String()
}

// ParseTraceID parses 16 or 32 hex digits; anything else, and a zero in the low half, is no
// TraceID.
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
