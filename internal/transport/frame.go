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
	// MaxFrameSize is the maximum length of a payload in bytes. A longer payload breaks the
	// connection.
	MaxFrameSize = 68 << 20
	// headerLen is the length of a frame's header (length and checksum) in bytes.
	headerLen = 8
	// chunkSize is the number of bytes of a frame that are written at a time, and the minimum
	// by which the read buffer grows. Reading in steps avoids allocating memory for bytes that
	// a header claims but that have not arrived. Writing in chunks avoids a time-out on a long
	// frame while the peer still accepts data.
	chunkSize = 64 << 10
	// writeTimeout is how long the peer may take to accept one chunk of a frame.
	writeTimeout = 5 * time.Second
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errFrameTooLong = eris.New("frame exceeds the maximum size")
	errChecksum     = eris.New("frame checksum mismatch")
)

// sealFrame fills in the header of frame and returns frame. The payload starts at headerLen;
// the bytes before it are reserved for the header.
func sealFrame(frame []byte) []byte {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-headerLen))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(frame[headerLen:], castagnoli))
	return frame
}

// readFrame reads one frame and returns its payload. It fails if the payload is longer than
// maxLen bytes or does not match the checksum.
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

// readBytes reads n bytes. Its buffer grows with the number of bytes that have arrived.
func readBytes(r io.Reader, n int) ([]byte, error) {
	b := make([]byte, 0, min(n, chunkSize))
	for len(b) < n {
		filled := len(b)
		b = slices.Grow(b, min(n-filled, max(filled, chunkSize)))
		b = b[:min(n, cap(b))]
		if _, err := io.ReadFull(r, b[filled:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// writeFrame writes a frame in chunks and returns the number of bytes written. It fails if
// the peer does not accept a chunk within writeTimeout.
func writeFrame(conn net.Conn, frame []byte) (written int, err error) {
	for written < len(frame) && err == nil {
		var n int
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err = conn.Write(frame[written:min(len(frame), written+chunkSize)])
		written += n
	}
	return written, err
}
