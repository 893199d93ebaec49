package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Program is a replica or sidecar process. It can be started again after it has ended.
type Program struct {
	Name      string
	IP        string
	Control   string
	path      string
	args      []string
	clockFile string // file with the offset of the wall clock
	diskFile  string // file with the disk fault

	cmd    *exec.Cmd
	stdout *output
	stderr *output
	exited chan struct{}
}

// maxOutput is the size in bytes beyond which no further output of a process is kept.
const maxOutput = 1 << 20

// output is a buffer for the output of a process. Once the buffer has reached maxOutput, further
// writes are discarded.
type output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.buffer.Len() < maxOutput {
		o.buffer.Write(p)
	}
	return len(p), nil
}

// String returns the output that was kept.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

// UseBinaries sets the directory of the executable for the next start.
func (p *Program) UseBinaries(b Binaries) { p.path = b.Path(filepath.Base(p.path)) }

// AddArgs adds command-line flags for the next start.
func (p *Program) AddArgs(flags ...string) { p.args = append(p.args, flags...) }

// RemoveArgs removes all command-line flags with the given names for the next start.
func (p *Program) RemoveArgs(names ...string) {
	p.args = slices.DeleteFunc(p.args, func(a string) bool {
		name, _, _ := strings.Cut(a, "=")
		return slices.Contains(names, name)
	})
}

// Start starts the process. It returns when the process has printed that it listens on its
// addresses, or has ended without that.
func (p *Program) Start() error {
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Env = append(os.Environ(), "CURLEWWALK_FAULT_CLOCK="+p.clockFile, "CURLEWWALK_FAULT_DISK="+p.diskFile)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.stdout, p.stderr = &output{}, &output{}
	p.cmd.Stderr = p.stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	reader := bufio.NewReader(out)
	line, err := reader.ReadString('\n')
	exited := make(chan struct{})
	p.exited = exited
	cmd, stdout := p.cmd, p.stdout
	go func() {
		io.Copy(stdout, reader) // a full pipe would block the process
		cmd.Wait()
		close(exited)
	}()
	if err != nil || !strings.HasPrefix(line, "started ") {
		<-exited
		return fmt.Errorf("%s did not start: %q %s", p.Name, line, p.stderr)
	}
	return nil
}

// Signal sends a signal to the process.
func (p *Program) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Program) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Stop sends SIGTERM, waits until the process has ended, and returns its exit code.
func (p *Program) Stop() int {
	p.Signal(syscall.SIGTERM)
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}

// Running reports whether the process was started and has not ended.
func (p *Program) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return p.cmd != nil
	}
}

// Stdout returns the standard output of the process after the first line.
func (p *Program) Stdout() string {
	if p.stdout == nil {
		return ""
	}
	return p.stdout.String()
}

// Stderr returns the standard error of the process.
func (p *Program) Stderr() string {
	if p.stderr == nil {
		return ""
	}
	return p.stderr.String()
}

// Get sends a GET request to the control address of the process and returns the status. It decodes
// the JSON body into the value that into points to. If into is nil, the body is not read.
func (p *Program) Get(ctx context.Context, path string, into any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Control+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if into == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(into)
}

// Await calls ok every 20 ms until it returns true. It returns an error if ctx is done first.
// condition describes the awaited condition in the error.
func Await(ctx context.Context, condition string, ok func(ctx context.Context) bool) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !ok(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("timed out waiting for %s", condition)
		case <-ticker.C:
		}
	}
	return nil
}

// AwaitReady waits until GET /ready of the process returns 200.
func (p *Program) AwaitReady(ctx context.Context) error {
	return Await(ctx, p.Name+" ready", func(ctx context.Context) bool {
		status, err := p.Get(ctx, "/ready", nil)
		return err == nil && status == http.StatusOK
	})
}
