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

// fakeBackendVariable is the environment variable that makes the test binary run as a backend. The
// backend runs in a separate process so that the measured CPU time is that of the inbound side
// alone.
const fakeBackendVariable = "CURLEWWALK_STAND_IN"

func TestMain(m *testing.M) {
	if os.Getenv(fakeBackendVariable) == "" {
		os.Exit(m.Run())
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(listener.Addr())
	http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("For", r.Header.Get("Ask"))
		io.WriteString(w, "a response of a few bytes")
	}))
}

// BenchmarkExchange measures the CPU time of an attempt on the inbound side, and the number of
// connections opened for 100 attempts.
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
	backend := newFakeBackend(b, respondOK)
	backend.endpoint.Address = strings.TrimSpace(addr)
	attempt := Attempt{ID: "x", Body: []byte(strings.Repeat("x", 200)), Header: http.Header{"Content-Type": {"text/plain"}, "Accept": {"*/*"}}, Timeout: time.Minute}
	admit := func() endpoints.Rejection { return endpoints.Admitted }
	before := cpu()
	b.ResetTimer()
	for range b.N {
		if response := backend.send(attempt, admit); response.Outcome != routing.Answered {
			b.Fatalf("attempt was not answered: %+v", response)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(cpu()-before)/float64(b.N), "cpu-ns/attempt")
	b.ReportMetric(100*float64(backend.inbound.ConnectionsOpened())/float64(b.N), "conns/100attempts")
}

// cpu returns the CPU time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
