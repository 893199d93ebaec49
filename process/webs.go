package process

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
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

// PartAll parts with the clients of all listeners, side by side, until ctx ends: what they
// have sent is answered, and idle connections get the farewell.
func (p *Process) PartAll(ctx context.Context, farewell []byte) {
	var all sync.WaitGroup
	for _, w := range p.webs.list() {
		all.Add(1)
		p.Launcher.Go(ctx, "part", func(ctx context.Context) {
			defer all.Done()
			w.Part(ctx, farewell)
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
