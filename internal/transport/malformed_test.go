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

// listMessage is a message body with a list, whose length the sender claims.
type listMessage struct {
	Entries []struct{ A, B, C, D uint64 } `msgpack:"e"`
}

// payloadWith is the payload of a call, with a body of raw bytes.
func payloadWith(body string) []byte {
	return []byte("\x83\xa1i\x01\xa1k\xa4list\xa1b" + body)
}

// malformedPayloads are payloads that are no message, though each begins as one.
var malformedPayloads = map[string][]byte{
	"nothing":                         {},
	"a byte never written":            payloadWith("\xc1"),
	"a list without its entries":      payloadWith("\x81\xa1e\xdd\xff\xff\xff\xff"),
	"a map without its entries":       payloadWith("\xdf\xff\xff\xff\xff"),
	"a text without its bytes":        payloadWith("\xdb\xff\xff\xff\xff"),
	"bytes without their bytes":       payloadWith("\xc6\xff\xff\xff\xffabc"),
	"an extension without its bytes":  payloadWith("\xc9\xff\xff\xff\xff\x01"),
	"a number cut short":              payloadWith("\xcf\x01"),
	"lists without end in each other": payloadWith(strings.Repeat("\x91", 5<<20)),
	"a list nested too deep":          payloadWith(strings.Repeat("\x91", maxDepth-1) + "\xc0"),
	"more behind the message":         append(payloadWith("\xc0"), 0xc0),
	"two messages":                    append(payloadWith("\xc0"), payloadWith("\xc0")...),
}

// A payload that is not exactly one message is an error, whatever lengths it claims.
func TestMalformedPayload(t *testing.T) {
	for name, b := range malformedPayloads {
		for _, prefix := range [][]byte{nil, trace.AppendPrefix(nil, trace.Root())} {
			if got, err := decode(append(prefix, b...)); err == nil {
				t.Errorf("%s was decoded as %+v", name, got.message)
			}
		}
	}
	if got, err := decode(payloadWith(strings.Repeat("\x91", maxDepth-2) + "\xc0")); err != nil || got.message.Kind != "list" {
		t.Errorf("nested as deep as allowed: %v", err)
	}
}

// The server survives such frames, and so does its process; other connections are served as
// before.
func TestServerOutlivesMalformedFrames(t *testing.T) {
	ctx, actors := setup(t)
	server := startServerWith(t, ctx, actors, listen(t), map[string]Handler{
		"list": func(_ context.Context, request Request) (any, error) {
			var list listMessage
			if !request.Decode(&list) {
				return nil, errors.New("not a list")
			}
			return len(list.Entries), nil
		},
	})
	connection := dialPeer(t, ctx, actors, server.Addr().String())
	for name, b := range malformedPayloads {
		conn, r := dialRaw(t, server)
		conn.Write(sealFrame(append(make([]byte, headerLen), b...)))
		if _, err := readFrame(r, MaxFrameSize); err == nil {
			t.Errorf("%s was answered", name)
		}
		conn.Close()
	}
	var n int
	if r := connection.Call(ctx, "list", listMessage{Entries: make([]struct{ A, B, C, D uint64 }, 3)}); !r.Decode(&n) || n != 3 {
		t.Errorf("another connection got %+v", r)
	}
}

// Memory is taken only for what has come of a frame, and a Hello is short: whoever connects
// and claims a long frame takes no memory by that.
func TestClaimedLengthTakesNoMemory(t *testing.T) {
	var before, after runtime.MemStats
	var header [headerLen]byte
	binary.BigEndian.PutUint32(header[:], MaxFrameSize)
	runtime.ReadMemStats(&before)
	if _, err := readFrame(bytes.NewReader(append(header[:], "abc"...)), MaxFrameSize); err == nil {
		t.Error("a cut frame was read")
	}
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > 1<<20 {
		t.Errorf("a claim of %d bytes took %d of memory", MaxFrameSize, got)
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
		t.Fatal(err) // the server's own
	}
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := readFrame(r, MaxFrameSize); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after a long Hello the connection did not end: %v", err)
	}
}

// A long frame arrives as it was sent, however it is cut on its way.
func TestLongFrame(t *testing.T) {
	b := bytes.Repeat([]byte("0123456789abcdef"), 200_000)
	whole := sealFrame(append(make([]byte, headerLen), b...))
	for _, size := range []int{1 << 20, 70_001} {
		got, err := readFrame(&chunkReader{whole, size}, MaxFrameSize)
		if err != nil || !bytes.Equal(got, b) {
			t.Errorf("in chunks of %d: %v, %d bytes", size, err, len(got))
		}
	}
}

// chunkReader reads no more than some bytes at a time.
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
