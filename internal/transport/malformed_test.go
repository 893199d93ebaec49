package transport

import (
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

// listMessage is a message body with a list, whose length the sender tells.
type listMessage struct {
	Entries []struct{ A, B, C, D uint64 } `msgpack:"e"`
}

// payload is a message as a caller writes it, with a body of raw bytes.
func payload(body string) []byte {
	return []byte("\x83\xa1i\x01\xa1k\xa4list\xa1b" + body)
}

// malformedPayloads are payloads that are no message, though each begins as one.
var malformedPayloads = map[string][]byte{
	"nothing":                         {},
	"a byte never written":            payload("\xc1"),
	"a list without its entries":      payload("\x81\xa1e\xdd\xff\xff\xff\xff"),
	"a map without its entries":       payload("\xdf\xff\xff\xff\xff"),
	"a text without its bytes":        payload("\xdb\xff\xff\xff\xff"),
	"bytes without their bytes":       payload("\xc6\xff\xff\xff\xffabc"),
	"an extension without its bytes":  payload("\xc9\xff\xff\xff\xff\x01"),
	"a number cut short":              payload("\xcf\x01"),
	"lists without end in each other": payload(strings.Repeat("\x91", 5<<20)),
	"a list nested too deep":          payload(strings.Repeat("\x91", maxDepth-1) + "\xc0"),
	"more behind the message":         append(payload("\xc0"), 0xc0),
	"two messages":                    append(payload("\xc0"), payload("\xc0")...),
}

// A payload that is not one whole message is not taken, whatever lengths it claims.
func TestMalformedPayload(t *testing.T) {
	for name, b := range malformedPayloads {
		for _, prefix := range [][]byte{nil, trace.AppendPrefix(nil, trace.Root())} {
			if _, _, m, err := decode(append(prefix, b...)); err == nil {
				t.Errorf("%s was taken as %+v", name, m)
			}
		}
	}
	if _, _, m, err := decode(payload(strings.Repeat("\x91", maxDepth-2) + "\xc0")); err != nil || m.Kind != "list" {
		t.Errorf("nested as deep as allowed: %v", err)
	}
}

// The host lives on when such frames come, and so does its process; other connections are
// served as before.
func TestServerOutlivesMalformedFrames(t *testing.T) {
	ctx, actors := setup(t)
	server := &Server{Actors: actors, Handlers: map[string]Handler{"list": func(_ context.Context, request Request) (any, string) {
		var list listMessage
		if !request.Decode(&list) {
			return nil, "not a list"
		}
		return len(list.Entries), ""
	}}}
	server.Listener = listen(t)
	actors.Go(ctx, "host", server.Run)
	c, err := Dial(ctx, actors, nil, server.Addr().String(), Hello{Version: ProtocolVersion})
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range malformedPayloads {
		conn, err := net.Dial("tcp", server.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		r := bufReader(conn)
		if _, err := handshake(conn, r, Hello{}, discardCount, discardCount); err != nil {
			t.Fatal(err)
		}
		conn.Write(sealFrame(append(make([]byte, headerLen), b...)))
		if _, err := readFrame(r, MaxFrameSize); err == nil {
			t.Errorf("%s was answered", name)
		}
		conn.Close()
	}
	var n int
	if r := c.Call(ctx, "list", listMessage{Entries: make([]struct{ A, B, C, D uint64 }, 3)}); !r.Decode(&n) || n != 3 {
		t.Errorf("another connection got %+v", r)
	}
}

// Of a frame no more is kept than has come, and a greeting is short: whoever connects
// and claims a long frame takes no memory by that.
func TestClaimedLengthTakesNoMemory(t *testing.T) {
	var before, after runtime.MemStats
	var head [headerLen]byte
	binary.BigEndian.PutUint32(head[:], MaxFrameSize)
	runtime.ReadMemStats(&before)
	if _, err := readFrame(bytes.NewReader(append(head[:], "abc"...)), MaxFrameSize); err == nil {
		t.Error("a cut frame was read")
	}
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > 1<<20 {
		t.Errorf("a claim of %d bytes took %d", MaxFrameSize, got)
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
	r := bufReader(conn)
	if _, err := readFrame(r, MaxFrameSize); err != nil {
		t.Fatal(err) // its own greeting
	}
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := readFrame(r, MaxFrameSize); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after a long greeting the circuit did not end: %v", err)
	}
}

// A long frame arrives as it was sent, however it is cut on its way.
func TestLongFrame(t *testing.T) {
	b := bytes.Repeat([]byte("0123456789abcdef"), 200_000)
	whole := sealFrame(append(make([]byte, headerLen), b...))
	for _, size := range []int{1 << 20, 70_001} {
		got, err := readFrame(&chunkReader{whole, size}, MaxFrameSize)
		if err != nil || !bytes.Equal(got, b) {
			t.Errorf("in pieces of %d: %v, %d bytes", size, err, len(got))
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
