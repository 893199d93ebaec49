package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// listMessage is a message body with a list. The sender controls the claimed length of the list.
type listMessage struct {
	Entries []struct{ A, B, C, D uint64 } `msgpack:"e"`
}

// payloadWith returns the payload of a call whose body is the given raw bytes.
func payloadWith(body string) []byte {
	return []byte("\x83\xa1i\x01\xa1k\xa4list\xa1b" + body)
}

// malformedPayloads are payloads that are not a valid message. All but the empty one begin like
// a valid one.
var malformedPayloads = map[string][]byte{
	"empty payload":               {},
	"reserved format code":        payloadWith("\xc1"),
	"list without entries":        payloadWith("\x81\xa1e\xdd\xff\xff\xff\xff"),
	"map without entries":         payloadWith("\xdf\xff\xff\xff\xff"),
	"string without bytes":        payloadWith("\xdb\xff\xff\xff\xff"),
	"truncated binary":            payloadWith("\xc6\xff\xff\xff\xffabc"),
	"truncated extension":         payloadWith("\xc9\xff\xff\xff\xff\x01"),
	"truncated number":            payloadWith("\xcf\x01"),
	"five million nested lists":   payloadWith(strings.Repeat("\x91", 5<<20)),
	"list nested one too deep":    payloadWith(strings.Repeat("\x91", maxDepth-1) + "\xc0"),
	"value after the message":     append(payloadWith("\xc0"), 0xc0),
	"two messages in one payload": append(payloadWith("\xc0"), payloadWith("\xc0")...),
}

// decode rejects a payload that is not exactly one message, with and without a trace prefix. It
// accepts values nested to the maximum depth.
func TestMalformedPayload(t *testing.T) {
	for name, b := range malformedPayloads {
		for _, prefix := range [][]byte{nil, trace.AppendPrefix(nil, trace.Root())} {
			if got, err := decode(append(prefix, b...)); err == nil {
				t.Errorf("%s: decoded as %+v, want an error", name, got.message)
			}
		}
	}
	if got, err := decode(payloadWith(strings.Repeat("\x91", maxDepth-2) + "\xc0")); err != nil || got.message.Kind != "list" {
		t.Errorf("message nested to the maximum depth: got error %v, want a message of kind list", err)
	}
}

// A malformed frame ends only its own connection. The server keeps running and serves its other
// connections.
func TestServerSurvivesMalformedFrames(t *testing.T) {
	ctx, actors := setup(t)
	server := startServerWith(t, ctx, actors, listen(t), map[string]Handler{
		"list": func(_ context.Context, request Request) (any, error) {
			var list listMessage
			if !request.Decode(&list) {
				return nil, errors.New("body is not a list message")
			}
			return len(list.Entries), nil
		},
	})
	connection := dialPeer(t, ctx, actors, server.Addr().String())
	for name, b := range malformedPayloads {
		conn, r := dialRaw(t, server)
		conn.Write(sealFrame(append(make([]byte, headerLen), b...)))
		if _, err := readFrame(r, MaxFrameSize); err == nil {
			t.Errorf("%s: got a response, want the connection to end", name)
		}
		conn.Close()
	}
	var n int
	if r := connection.Call(ctx, "list", listMessage{Entries: make([]struct{ A, B, C, D uint64 }, 3)}); !r.Decode(&n) || n != 3 {
		t.Errorf("call on another connection got %+v, want a count of 3 entries", r)
	}
}

// Guards against exhausting a server's memory by claiming long frames. Memory is allocated only
// for the bytes of a frame that have arrived. A connection ends if its Hello is longer than
// maxHelloSize.
func TestClaimedLengthAllocatesNoMemory(t *testing.T) {
	var before, after runtime.MemStats
	var header [headerLen]byte
	binary.BigEndian.PutUint32(header[:], MaxFrameSize)
	runtime.ReadMemStats(&before)
	if _, err := readFrame(bytes.NewReader(append(header[:], "abc"...)), MaxFrameSize); err == nil {
		t.Error("read a truncated frame, want an error")
	}
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > 1<<20 {
		t.Errorf("a frame with a claimed length of %d bytes allocated %d bytes, want at most 1 MiB", MaxFrameSize, got)
	}

	ctx, actors := setup(t)
	server := startServer(t, ctx, actors)
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	long, err := msgpack.Marshal(Hello{Node: strings.Repeat("x", maxHelloSize)})
	if err != nil {
		t.Fatal(err)
	}
	conn.Write(sealFrame(append(make([]byte, headerLen), long...)))
	r := bufio.NewReader(conn)
	if _, err := readFrame(r, MaxFrameSize); err != nil {
		t.Fatal(err) // the server's Hello
	}
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := readFrame(r, MaxFrameSize); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after a Hello that is too long: got error %v, want the connection to end", err)
	}
}

// readFrame returns a long frame unchanged, whatever the size of the chunks it arrives in.
func TestLongFrame(t *testing.T) {
	b := bytes.Repeat([]byte("0123456789abcdef"), 200_000)
	frame := sealFrame(append(make([]byte, headerLen), b...))
	for _, size := range []int{1 << 20, 70_001} {
		got, err := readFrame(&chunkReader{frame, size}, MaxFrameSize)
		if err != nil || !bytes.Equal(got, b) {
			t.Errorf("chunks of %d bytes: got error %v and %d bytes, want all bytes unchanged", size, err, len(got))
		}
	}
}

// chunkReader is a reader that returns at most size bytes per Read.
type chunkReader struct {
	remaining []byte
	size      int
}

func (reader *chunkReader) Read(b []byte) (int, error) {
	n := copy(b, reader.remaining[:min(reader.size, len(reader.remaining))])
	reader.remaining = reader.remaining[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}
