// Package ringlog is the log: a ring in memory that is written out when something
// goes wrong. (DESIGN 12)
package ringlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
)

// Ring is a slog.Handler that keeps the newest lines.
type Ring struct {
	slog.Handler
	buffer *buffer
}

// buffer is the io.Writer behind the handler: one Write is one line.
type buffer struct {
	mu      sync.Mutex
	entries [][]byte
	next    int
	// echo is written to too, if set.
	echo io.Writer
}

// New makes a ring of the given number of lines; each is written to echo too, if that
// is not nil.
func New(size int, echo io.Writer) *Ring {
	l := &buffer{entries: make([][]byte, size), echo: echo}
	return &Ring{Handler: slog.NewTextHandler(l, &slog.HandlerOptions{Level: slog.LevelInfo}), buffer: l}
}

// Enabled implements slog.Handler: all but debug lines are kept.
func (r *Ring) Enabled(ctx context.Context, l slog.Level) bool { return r.Handler.Enabled(ctx, l) }

// WithAttrs implements slog.Handler.
func (r *Ring) WithAttrs(a []slog.Attr) slog.Handler {
	return &Ring{Handler: r.Handler.WithAttrs(a), buffer: r.buffer}
}

// WithGroup implements slog.Handler.
func (r *Ring) WithGroup(g string) slog.Handler {
	return &Ring{Handler: r.Handler.WithGroup(g), buffer: r.buffer}
}

// WriteTo writes the kept lines, the oldest first.
func (r *Ring) WriteTo(w io.Writer) (int64, error) {
	r.buffer.mu.Lock()
	defer r.buffer.mu.Unlock()
	var b bytes.Buffer
	for i := range r.buffer.entries {
		b.Write(r.buffer.entries[(r.buffer.next+i)%len(r.buffer.entries)])
	}
	return b.WriteTo(w)
}

// Write implements io.Writer.
func (l *buffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[l.next] = bytes.Clone(b)
	l.next = (l.next + 1) % len(l.entries)
	if l.echo != nil {
		l.echo.Write(b)
	}
	return len(b), nil
}
