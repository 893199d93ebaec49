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

// httpServerList are the HTTP listeners of a process.
type httpServerList struct {
	mu      sync.Mutex
	servers []*HTTPServer
}

func (ws *httpServerList) add(w *HTTPServer) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.servers = append(ws.servers, w)
}

func (ws *httpServerList) list() []*HTTPServer {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return slices.Clone(ws.servers)
}

// ShutdownHTTP parts with the clients of all listeners, side by side: idle connections get the
// farewell, for as long as linger if new ones keep coming, and what was sent is answered until
// ctx ends.
func (p *Process) ShutdownHTTP(ctx context.Context, linger time.Duration, farewell []byte) {
	parting, over := context.WithTimeout(ctx, linger)
	defer over()
	var all sync.WaitGroup
	for _, w := range p.httpServers.list() {
		all.Add(1)
		p.Actors.Go(ctx, "part", func(ctx context.Context) {
			defer all.Done()
			w.CloseIdle(parting, farewell)
			w.Shutdown(ctx)
		})
	}
	all.Wait()
}

// ClosingResponse writes the answer to whatever a client may be sending on an idle connection that
// is about to be closed: 408, so that it knows that it was not heard. A client that sends
// nothing takes it for the end of the connection. (DESIGN 11.3)
func ClosingResponse(header http.Header, body []byte) []byte {
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
