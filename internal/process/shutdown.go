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

// httpServerList is the list of HTTP servers of a process. It is safe for concurrent use.
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

// ShutdownHTTP shuts down all HTTP servers concurrently and waits for them. It sends the closing
// response on idle connections for at most closingGrace, even if clients keep opening new ones.
// Requests that were received may finish until ctx ends.
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

// ClosingResponse returns the response that is sent on an idle connection before it is closed. A
// client that is sending a request at that moment receives it as the response: status 408 means
// that the request was not received. A client that sends nothing treats it as the end of the
// connection. (DESIGN 11.3)
func ClosingResponse(header http.Header, body []byte) []byte {
	header = header.Clone()
	header.Set("Connection", "close")
	resp := http.Response{
		StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	var b bytes.Buffer
	if err := resp.Write(&b); err != nil {
		panic(err) // writing to a bytes.Buffer cannot fail
	}
	return b.Bytes()
}
