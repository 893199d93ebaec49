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

// httpServerList has the HTTP servers of a process.
type httpServerList struct {
	mu      sync.Mutex
	servers []*HTTPServer
}

func (l *httpServerList) add(s *HTTPServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = append(l.servers, s)
}

func (l *httpServerList) list() []*HTTPServer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.servers)
}

// ShutdownHTTP shuts all HTTP servers down at once and waits for them. Idle connections get the
// closing response, for closingGrace at most if new ones keep coming; requests that were received
// may finish until ctx ends.
func (p *Process) ShutdownHTTP(ctx context.Context, closingGrace time.Duration, closingResponse []byte) {
	closingCtx, cancel := context.WithTimeout(ctx, closingGrace)
	defer cancel()
	var stopped sync.WaitGroup
	for _, s := range p.httpServers.list() {
		stopped.Add(1)
		p.Actors.Go(ctx, "http-shutdown", func(ctx context.Context) {
			defer stopped.Done()
			s.CloseIdle(closingCtx, closingResponse)
			s.Shutdown(ctx)
		})
	}
	stopped.Wait()
}

// ClosingResponse is the response to whatever a client may be sending on an idle connection that is
// about to be closed: 408, which tells that the request was not received. A client that sends
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
		panic(err) // a buffer can be written to
	}
	return b.Bytes()
}
