package transport

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// maxDepth bounds how deep the values of a message may be nested: the msgpack library
// decodes nested values by recursion, and Go ends a process whose stack grows too large.
// (ours)
const maxDepth = 64

var (
	errMalformed     = eris.New("not one whole msgpack value")
	errNestedTooDeep = eris.New("msgpack value is nested too deep")
)

// checkWellFormed checks that b is exactly one msgpack value, with all the elements and bytes
// that it claims. The library allocates memory by claimed lengths before it reads, so that
// otherwise a short frame could end the process.
func checkWellFormed(b []byte) error {
	var missing [maxDepth]uint64 // values still to come, by depth
	missing[0] = 1
	for depth := 0; ; {
		for missing[depth] == 0 {
			if depth == 0 {
				return checkEnd(b)
			}
			depth--
		}
		missing[depth]--
		values, rest, err := cutValue(b)
		if err != nil {
			return err
		}
		if b = rest; values == 0 {
			continue
		}
		if values > uint64(len(b)) {
			return errMalformed // each takes a byte at least
		}
		if depth++; depth == maxDepth {
			return errNestedTooDeep
		}
		missing[depth] = values
	}
}

// checkEnd checks that nothing follows the value.
func checkEnd(b []byte) error {
	if len(b) > 0 {
		return errMalformed
	}
	return nil
}

// The first bytes of msgpack values that begin a group of codes, by the msgpack
// specification.
const (
	codeFixMap         = 0x80 // with its length, up to codeFixArray
	codeFixArray       = 0x90 // with its length, up to codeFixStr
	codeFixStr         = 0xa0 // with its length, up to codeNil
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

// cutValue cuts a value off b, without the values nested in it, and returns their number.
func cutValue(b []byte) (values uint64, rest []byte, err error) {
	if len(b) == 0 {
		return 0, nil, errMalformed
	}
	c := b[0]
	b = b[1:]
	switch {
	case c < codeFixMap || c >= codeNegativeFixInt: // a small number
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

// skip cuts n bytes off.
func skip(b []byte, n uint64) (values uint64, rest []byte, err error) {
	if n > uint64(len(b)) {
		return 0, nil, errMalformed
	}
	return 0, b[n:], nil
}

// skipSized cuts off bytes whose number stands before them, in 1 << size bytes, and extra
// bytes of a type between.
func skipSized(b []byte, size byte, extra uint64) (values uint64, rest []byte, err error) {
	n, b, err := readLength(b, size)
	if err != nil {
		return 0, nil, err
	}
	return skip(b, n+extra)
}

// readLength reads a length of 1 << size bytes; size is 0, 1 or 2.
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
