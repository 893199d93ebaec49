// Package transport carries messages between the system's own processes: msgpack
// in checked frames over TCP connections. (DESIGN 3)
package transport

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxFrame bounds a frame; a longer one breaks the connection.
	MaxFrame = 68 << 20 // (ours)
	// maxGreeting bounds the first frame, which anybody who connects may send.
	maxGreeting = 4 << 10 // (ours)
	// chunk is how much of a frame is read or written at a time: no memory is taken for
	// what a frame claims but has not brought, and a writer that makes progress is not
	// cut off because its frame is long.
	chunk = 64 << 10 // (ours)
)

var table = crc32.MakeTable(crc32.Castagnoli)

var (
	errLong     = eris.New("frame is over the bound")
	errChecksum = eris.New("frame does not match its checksum")
)

// sealFrame puts length and checksum before a payload that was built with
// headLen free bytes at its start.
func sealFrame(b []byte) []byte {
	binary.BigEndian.PutUint32(b, uint32(len(b)-headLen))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(b[headLen:], table))
	return b
}

const headLen = 8

// readFrame reads one whole frame of most bytes or fails; a part of a frame is never
// seen.
func readFrame(r io.Reader, most uint32) ([]byte, error) {
	var head [headLen]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > most {
		return nil, errLong
	}
	b, err := readBytes(r, int(n))
	if err != nil {
		return nil, err
	}
	if crc32.Checksum(b, table) != binary.BigEndian.Uint32(head[4:]) {
		return nil, errChecksum
	}
	return b, nil
}

// readBytes reads n bytes. Its memory grows with what has come.
func readBytes(r io.Reader, n int) ([]byte, error) {
	b := make([]byte, 0, min(n, chunk))
	for len(b) < n {
		had := len(b)
		b = slices.Grow(b, min(n-had, max(had, chunk)))
		b = b[:min(n, cap(b))]
		if _, err := io.ReadFull(r, b[had:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// writeFrame writes a frame; how much of it was taken is told. It fails if a chunk of it
// is not taken within writeLimit.
func writeFrame(conn net.Conn, b []byte) (written int, err error) {
	for written < len(b) && err == nil {
		var n int
		conn.SetWriteDeadline(time.Now().Add(writeLimit))
		n, err = conn.Write(b[written:min(len(b), written+chunk)])
		written += n
	}
	return written, err
}
