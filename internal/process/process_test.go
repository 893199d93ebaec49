package process

import (
	"os"
	"syscall"
	"testing"
	"time"

	"curlewwalk/internal/settings"
)

// A signal that arrives before WaitForStop is called is queued. Without the queue the Go runtime
// would end the process, which may already serve requests at that time.
func TestEarlySignals(t *testing.T) {
	p := New("test", settings.Common{Wire: "127.0.0.1:0", LogLines: 8})
	send := func(s syscall.Signal) {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	send(syscall.SIGHUP)
	reloads := make(chan bool, 9)
	stopping := make(chan bool)
	go func() {
		p.WaitForStop(func() { reloads <- true })
		close(stopping)
	}()
	wait := func(event string, ch <-chan bool) {
		t.Helper()
		select {
		case <-ch:
		case <-time.After(5 * time.Second):
			t.Fatalf("timed out waiting for %s", event)
		}
	}
	wait("the reload", reloads)
	send(syscall.SIGTERM)
	wait("the stop signal", stopping)
}
