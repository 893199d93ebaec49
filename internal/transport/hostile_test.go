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

// listing is a message body with a list, whose length the sender tells.
type listing struct {
	Entries []struct{ A, B, C, D uint64 } `msgpack:"e"`
}

// payload is a message as a caller writes it, with a body of raw bytes.
func payload(body string) []byte {
	return []byte("\x83\xa1i\x01\xa1k\xa4list\xa1b" + body)
}

// malformed are payloads that are no message, though each begins as one.
var malformed = map[string][]byte{
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
	for name, b := range malformed {
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
func TestHostOutlivesMalformedFrames(t *testing.T) {
	ctx, l := begin(t)
	h := &Host{Launcher: l, Handlers: map[string]Handler{"list": func(_ context.Context, q Request) (any, string) {
		var list listing
		if !q.Into(&list) {
			return nil, "not a list"
		}
		return len(list.Entries), ""
	}}}
	h.Listener = listen(t)
	l.Go(ctx, "host", h.Run)
	c, err := Dial(ctx, l, nil, h.Addr().String(), Greeting{Version: Version})
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range malformed {
		conn, err := net.Dial("tcp", h.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		r := bufReader(conn)
		if _, err := exchange(conn, r, Greeting{}, uncounted, uncounted); err != nil {
			t.Fatal(err)
		}
		conn.Write(sealFrame(append(make([]byte, headLen), b...)))
		if _, err := readFrame(r, MaxFrame); err == nil {
			t.Errorf("%s was answered", name)
		}
		conn.Close()
	}
	var n int
	if r := c.Call(ctx, "list", listing{Entries: make([]struct{ A, B, C, D uint64 }, 3)}); !r.Into(&n) || n != 3 {
		t.Errorf("another connection got %+v", r)
	}
}

// Of a frame no more is kept than has come, and a greeting is short: whoever connects
// and claims a long frame takes no memory by that.
func TestClaimedLengthTakesNoMemory(t *testing.T) {
	var before, after runtime.MemStats
	var head [headLen]byte
	binary.BigEndian.PutUint32(head[:], MaxFrame)
	runtime.ReadMemStats(&before)
	if _, err := readFrame(bytes.NewReader(append(head[:], "abc"...)), MaxFrame); err == nil {
		t.Error("a cut frame was read")
	}
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > 1<<20 {
		t.Errorf("a claim of %d bytes took %d", MaxFrame, got)
	}

	ctx, l := begin(t)
	h := host(t, ctx, l)
	conn, err := net.Dial("tcp", h.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	long, err := msgpack.Marshal(Greeting{Node: strings.Repeat("x", maxGreeting)})
	if err != nil {
		t.Fatal(err)
	}
	conn.Write(sealFrame(append(make([]byte, headLen), long...)))
	r := bufReader(conn)
	if _, err := readFrame(r, MaxFrame); err != nil {
		t.Fatal(err) // its own greeting
	}
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := readFrame(r, MaxFrame); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after a long greeting the circuit did not end: %v", err)
	}
}

// A long frame arrives as it was sent, however it is cut on its way.
func TestLongFrame(t *testing.T) {
	b := bytes.Repeat([]byte("0123456789abcdef"), 200_000)
	whole := sealFrame(append(make([]byte, headLen), b...))
	for _, size := range []int{1 << 20, 70_001} {
		got, err := readFrame(&pieces{whole, size}, MaxFrame)
		if err != nil || !bytes.Equal(got, b) {
			t.Errorf("in pieces of %d: %v, %d bytes", size, err, len(got))
		}
	}
}

// pieces reads no more than some bytes at a time.
type pieces struct {
	left []byte
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	n := copy(b, p.left[:min(p.size, len(p.left))])
	p.left = p.left[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}
