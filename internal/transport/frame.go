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
	// MaxFrameSize bounds a payload, in bytes; a longer one breaks the connection.
	MaxFrameSize = 68 << 20 // (ours)
	// headerLen is the length of a frame's header: length and checksum.
	headerLen = 8
	// chunkSize is how much of a frame is read or written at a time: no memory is taken for
	// what a header claims but has not come, and a writer that makes progress is not cut off
	// because its frame is long.
	chunkSize = 64 << 10 // (ours)
	// writeTimeout is how long the peer may take to accept a chunk of a frame.
	writeTimeout = 5 * time.Second // (ours)
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errFrameTooLong = eris.New("frame is over the bound")
	errChecksum     = eris.New("frame does not match its checksum")
)

// sealFrame writes the header of a frame whose payload was built behind headerLen free
// bytes.
func sealFrame(frame []byte) []byte {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-headerLen))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(frame[headerLen:], castagnoli))
	return frame
}

// readFrame reads a complete frame and returns its payload, of at most maxLen bytes.
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

// writeFrame writes a frame and returns how much of it was accepted. It fails if a chunk is
// not accepted within writeTimeout.
func writeFrame(conn net.Conn, frame []byte) (written int, err error) {
	for written < len(frame) && err == nil {
		var n int
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err = conn.Write(frame[written:min(len(frame), written+chunkSize)])
		written += n
	}
	return written, err
}
