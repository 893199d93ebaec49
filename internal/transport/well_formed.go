package transport

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// maxDepth limits the nesting of values in a message. The msgpack library decodes nested
// values recursively, and the Go runtime ends a process whose stack grows too large.
const maxDepth = 64

var (
	errMalformed     = eris.New("not exactly one complete msgpack value")
	errNestedTooDeep = eris.New("msgpack value is nested too deeply")
)

// checkWellFormed checks that b is exactly one msgpack value and contains all the elements and
// bytes whose number it claims. The msgpack library allocates memory for the claimed lengths
// before it reads, so without this check a short frame could exhaust the memory of the process.
func checkWellFormed(b []byte) error {
	var remaining [maxDepth]uint64 // number of values not yet read at each depth
	remaining[0] = 1
	for depth := 0; ; {
		for remaining[depth] == 0 {
			if depth == 0 {
				return checkEnd(b)
			}
			depth--
		}
		remaining[depth]--
		values, rest, err := cutValue(b)
		if err != nil {
			return err
		}
		if b = rest; values == 0 {
			continue
		}
		if values > uint64(len(b)) {
			return errMalformed // each value takes at least one byte
		}
		if depth++; depth == maxDepth {
			return errNestedTooDeep
		}
		remaining[depth] = values
	}
}

// checkEnd checks that no bytes follow the value.
func checkEnd(b []byte) error {
	if len(b) > 0 {
		return errMalformed
	}
	return nil
}

// The first code of each group of format codes in the msgpack specification. The format code
// is the first byte of a value.
const (
	codeFixMap         = 0x80 // codes below codeFixArray include the length
	codeFixArray       = 0x90 // codes below codeFixStr include the length
	codeFixStr         = 0xa0 // codes below codeNil include the length
	codeNil            = 0xc0
	codeNeverUsed      = 0xc1
	codeBin8           = 0xc4
	codeExt8           = 0xc7
	codeFloat32        = 0xca
	codeUint8          = 0xcc
	codeInt8           = 0xd0
	codeFixExt1        = 0xd4
	codeStr8           = 0xd9
	codeArray16        = 0xdc
	codeMap16          = 0xde
	codeNegativeFixInt = 0xe0
)

// cutValue removes the first value from b, except the values nested in it. It returns the
// number of nested values and the rest of b.
func cutValue(b []byte) (values uint64, rest []byte, err error) {
	if len(b) == 0 {
		return 0, nil, errMalformed
	}
	c := b[0]
	b = b[1:]
	switch {
	case c < codeFixMap || c >= codeNegativeFixInt: // small integer
		return 0, b, nil
	case c < codeFixArray:
		return 2 * uint64(c-codeFixMap), b, nil
	case c < codeFixStr:
		return uint64(c - codeFixArray), b, nil
	case c < codeNil:
		return skip(b, uint64(c-codeFixStr))
	case c == codeNeverUsed:
		return 0, nil, errMalformed
	case c < codeBin8: // nil, false, true
		return 0, b, nil
	case c < codeExt8:
		return skipSized(b, c-codeBin8, 0)
	case c < codeFloat32:
		return skipSized(b, c-codeExt8, 1)
	case c < codeUint8:
		return skip(b, 4<<(c-codeFloat32))
	case c < codeInt8:
		return skip(b, 1<<(c-codeUint8))
	case c < codeFixExt1:
		return skip(b, 1<<(c-codeInt8))
	case c < codeStr8:
		return skip(b, 1+1<<(c-codeFixExt1))
	case c < codeArray16:
		return skipSized(b, c-codeStr8, 0)
	case c < codeMap16:
		return readLength(b, 1+c-codeArray16)
	}
	values, rest, err = readLength(b, 1+c-codeMap16)
	return 2 * values, rest, err
}

// skip removes the first n bytes of b. values is always 0.
func skip(b []byte, n uint64) (values uint64, rest []byte, err error) {
	if n > uint64(len(b)) {
		return 0, nil, errMalformed
	}
	return 0, b[n:], nil
}

// skipSized removes a length field of 1 << size bytes, extra bytes (the type of an extension),
// and as many bytes as the length field states. values is always 0.
func skipSized(b []byte, size byte, extra uint64) (values uint64, rest []byte, err error) {
	n, b, err := readLength(b, size)
	if err != nil {
		return 0, nil, err
	}
	return skip(b, n+extra)
}

// readLength reads a length field of 1 << size bytes from b, and returns the length and the
// rest of b. size is 0, 1 or 2.
func readLength(b []byte, size byte) (n uint64, rest []byte, err error) {
	width := 1 << size
	if len(b) < width {
		return 0, nil, errMalformed
	}
	switch size {
	case 0:
		n = uint64(b[0])
	case 1:
		n = uint64(binary.BigEndian.Uint16(b))
	default:
		n = uint64(binary.BigEndian.Uint32(b))
	}
	return n, b[width:], nil
}
