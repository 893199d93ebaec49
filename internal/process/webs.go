package process

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// webs are the HTTP listeners of a process.
type webs struct {
	mu  sync.Mutex
	all []*Web
}

func (ws *webs) add(w *Web) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.all = append(ws.all, w)
}

func (ws *webs) list() []*Web {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return slices.Clone(ws.all)
}

// PartAll parts with the clients of all listeners, side by side: idle connections get the
// farewell, for as long as linger if new ones keep coming, and what was sent is answered until
// ctx ends.
func (p *Process) PartAll(ctx context.Context, linger time.Duration, farewell []byte) {
	parting, over := context.WithTimeout(ctx, linger)
	defer over()
	var all sync.WaitGroup
	for _, w := range p.webs.list() {
		all.Add(1)
		p.Launcher.Go(ctx, "part", func(ctx context.Context) {
			defer all.Done()
			w.Part(parting, farewell)
			w.Stop(ctx)
		})
	}
	all.Wait()
}

// Farewell writes the answer to whatever a client may be sending on an idle connection that
// is about to be closed: 408, so that it knows that it was not heard. A client that sends
// nothing takes it for the end of the connection. (DESIGN 11.3)
func Farewell(header http.Header, body []byte) []byte {
	header = header.Clone()
	header.Set("Connection", "close")
	resp := http.Response{
		StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	var b bytes.Buffer
	if err := resp.Write(&b); err != nil {
		panic(err) // a buffer takes all
	}
	return b.Bytes()
}
