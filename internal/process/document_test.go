package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A document that does not arrive in time is rejected, so that the client can send it to another
// node. The read deadline no longer applies once the document is complete: otherwise it would
// cancel the request while the handler runs.
func TestDocumentTimeout(t *testing.T) {
	const timeout = 100 * time.Millisecond
	handled := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := readDocument(w, r, 10, timeout)
		if err != nil {
			http.Error(w, err.Message, err.Status)
			return
		}
		select { // run for longer than the timeout of the document
		case <-r.Context().Done():
			handled <- r.Context().Err()
		case <-time.After(3 * timeout):
			handled <- nil
		}
		w.Write(b)
	}))
	defer s.Close()
	send := func(text string) (int, string) {
		t.Helper()
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "PUT / HTTP/1.1\r\nHost: a\r\n%s", text)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b)
	}
	if status, body := send("Content-Length: 5\r\n\r\nhello"); status != 200 || body != "hello" {
		t.Errorf("complete document: got %d %q, want 200 and hello", status, body)
	}
	if err := <-handled; err != nil {
		t.Errorf("complete document: the request was cancelled while its handler ran: %v", err)
	}
	if status, _ := send("Content-Length: 5\r\n\r\nhell"); status != 408 {
		t.Errorf("document that does not arrive in time: got %d, want 408", status)
	}
	if status, _ := send("Content-Length: 11\r\n\r\nhello world"); status != 413 {
		t.Errorf("document over the size limit: got %d, want 413", status)
	}
}
