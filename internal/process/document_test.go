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

// A document that does not arrive in time is rejected, so that its caller may go elsewhere; the
// connection of a complete one is not bound to that time any more.
func TestDocumentInTime(t *testing.T) {
	const wait = 100 * time.Millisecond
	handled := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := readDocument(w, r, 10, wait)
		if err != nil {
			http.Error(w, err.Message, err.Status)
			return
		}
		select { // longer than the document had
		case <-r.Context().Done():
			handled <- r.Context().Err()
		case <-time.After(3 * wait):
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
		t.Errorf("a complete one: %d %q", status, body)
	}
	if err := <-handled; err != nil {
		t.Errorf("a complete one: %v", err)
	}
	if status, _ := send("Content-Length: 5\r\n\r\nhell"); status != 408 {
		t.Errorf("a late one: %d", status)
	}
	if status, _ := send("Content-Length: 11\r\n\r\nhello world"); status != 413 {
		t.Errorf("a large one: %d", status)
	}
}
