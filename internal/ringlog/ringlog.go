// Package ringlog provides an in-memory log. A ring buffer keeps the newest lines, which are written
// out when the process fails or an operator requests them. (DESIGN 12)
package ringlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
)

// Ring is a slog.Handler that keeps the newest log lines as text. It is safe for concurrent use.
type Ring struct {
	slog.Handler
	buffer *buffer
}

// New returns a ring that keeps size lines. If echo is not nil, each line is also written to echo.
func New(size int, echo io.Writer) *Ring {
	b := &buffer{lines: make([][]byte, size), echo: echo}
	return &Ring{Handler: slog.NewTextHandler(b, &slog.HandlerOptions{Level: slog.LevelInfo}), buffer: b}
}

// Enabled implements slog.Handler. Lines below level Info are not kept.
func (r *Ring) Enabled(ctx context.Context, level slog.Level) bool {
	return r.Handler.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (r *Ring) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Ring{Handler: r.Handler.WithAttrs(attrs), buffer: r.buffer}
}

// WithGroup implements slog.Handler.
func (r *Ring) WithGroup(name string) slog.Handler {
	return &Ring{Handler: r.Handler.WithGroup(name), buffer: r.buffer}
}

// WriteTo implements io.WriterTo. It writes the kept lines, the oldest first.
func (r *Ring) WriteTo(w io.Writer) (int64, error) {
	return r.buffer.writeTo(w)
}

// buffer is the ring buffer. The slog.TextHandler calls Write once for each line.
type buffer struct {
	mu    sync.Mutex
	lines [][]byte // an element is nil until it is first written
	next  int      // index of the oldest line, which is overwritten next
	echo  io.Writer
}

// Write implements io.Writer.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines[b.next] = bytes.Clone(line)
	b.next = (b.next + 1) % len(b.lines)
	if b.echo != nil {
		b.echo.Write(line)
	}
	return len(line), nil
}

func (b *buffer) writeTo(w io.Writer) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var text bytes.Buffer
	for i := range b.lines {
		text.Write(b.lines[(b.next+i)%len(b.lines)])
	}
	return text.WriteTo(w)
}
