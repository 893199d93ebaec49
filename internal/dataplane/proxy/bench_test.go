package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
)

// fakeBackendVariable tells the test binary to be a backend in a process of its own, so that
// the CPU that is counted is that of the far side alone.
const fakeBackendVariable = "CURLEWWALK_STAND_IN"

func TestMain(m *testing.M) {
	if os.Getenv(fakeBackendVariable) == "" {
		os.Exit(m.Run())
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		w.Header().Set("For", q.Header.Get("Ask"))
		io.WriteString(w, "the answer, of a few bytes")
	}))
}

// BenchmarkExchange tells the CPU that an attempt costs here, and the connections that 100
// attempts open.
func BenchmarkExchange(b *testing.B) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fakeBackendVariable+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	w := newFakeBackend(b, respondOK)
	w.entry.Address = strings.TrimSpace(addr)
	attempt := Attempt{ID: "x", Body: []byte(strings.Repeat("x", 200)), Header: http.Header{"Content-Type": {"text/plain"}, "Accept": {"*/*"}}, Timeout: time.Minute}
	open := func() endpoints.Rejection { return endpoints.Admitted }
	before := cpu()
	b.ResetTimer()
	for range b.N {
		if response := w.send(attempt, open); response.Outcome != routing.Answered {
			b.Fatalf("%+v", response)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(cpu()-before)/float64(b.N), "cpu-ns/leg")
	b.ReportMetric(100*float64(w.inbound.ConnectionsOpened())/float64(b.N), "conns/100legs")
}

func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
