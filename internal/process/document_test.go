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

// A document that does not come in time is refused so that its caller may go elsewhere;
// the connection of one that came whole is not bound to that time any more.
func TestDocumentInTime(t *testing.T) {
	const wait = 100 * time.Millisecond
	held := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := readDocument(w, r, 10, wait)
		if err != nil {
			http.Error(w, err.Message, err.Status)
			return
		}
		select { // longer than the document had
		case <-r.Context().Done():
			held <- r.Context().Err()
		case <-time.After(3 * wait):
			held <- nil
		}
		w.Write(b)
	}))
	defer s.Close()
	ask := func(text string) (int, string) {
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
	if status, body := ask("Content-Length: 5\r\n\r\nhello"); status != 200 || body != "hello" {
		t.Errorf("a whole one: %d %q", status, body)
	}
	if err := <-held; err != nil {
		t.Errorf("a whole one: %v", err)
	}
	if status, _ := ask("Content-Length: 5\r\n\r\nhell"); status != 408 {
		t.Errorf("a late one: %d", status)
	}
	if status, _ := ask("Content-Length: 11\r\n\r\nhello world"); status != 413 {
		t.Errorf("a large one: %d", status)
	}
}
