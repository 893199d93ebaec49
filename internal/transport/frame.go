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
	// MaxFrameSize bounds a frame; a longer one breaks the connection.
	MaxFrameSize = 68 << 20 // (ours)
	// maxHelloSize bounds the first frame, which anybody who connects may send.
	maxHelloSize = 4 << 10 // (ours)
	// chunkSize is how much of a frame is read or written at a time: no memory is taken for
	// what a frame claims but has not brought, and a writer that makes progress is not
	// cut off because its frame is long.
	chunkSize = 64 << 10 // (ours)
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errFrameTooLong = eris.New("frame is over the bound")
	errChecksum     = eris.New("frame does not match its checksum")
)

// sealFrame puts length and checksum before a payload that was built with
// headLen free bytes at its start.
func sealFrame(frame []byte) []byte {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-headerLen))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(frame[headerLen:], castagnoli))
	return frame
}

const headerLen = 8

// readFrame reads one whole frame of most bytes or fails; a part of a frame is never
// seen.
func readFrame(r io.Reader, maxLen uint32) ([]byte, error) {
	var header [headerLen]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxLen {
		return nil, errFrameTooLong
	}
	payload, err := readBytes(r, int(n))
	if err != nil {
		return nil, err
	}
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(header[4:]) {
		return nil, errChecksum
	}
	return payload, nil
}

// readBytes reads n bytes. Its memory grows with what has come.
func readBytes(r io.Reader, n int) ([]byte, error) {
	b := make([]byte, 0, min(n, chunkSize))
	for len(b) < n {
		had := len(b)
		b = slices.Grow(b, min(n-had, max(had, chunkSize)))
		b = b[:min(n, cap(b))]
		if _, err := io.ReadFull(r, b[had:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// writeFrame writes a frame; how much of it was taken is told. It fails if a chunk of it
// is not taken within writeLimit.
func writeFrame(conn net.Conn, frame []byte) (written int, err error) {
	for written < len(frame) && err == nil {
		var n int
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err = conn.Write(frame[written:min(len(frame), written+chunkSize)])
		written += n
	}
	return written, err
}
