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

// Program is one process of the system. It can be started, ended and started again.
type Program struct {
	Name      string
	IP        string
	Control   string
	path      string
	args      []string
	clockFile string // holds by how much the wall clock has jumped
	diskFile  string // holds the fault of the disk

	cmd    *exec.Cmd
	stdout *output
	stderr *output
	exited chan struct{}
}

// maxOutput is how many bytes of a process's output are kept, about.
const maxOutput = 1 << 20

// output keeps what a process writes, up to a limit.
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

// String is what was written.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

// UseBinaries has the program come from other binaries at its next start.
func (p *Program) UseBinaries(b Binaries) { p.path = b.Path(filepath.Base(p.path)) }

// AddArgs adds flags for the next start.
func (p *Program) AddArgs(more ...string) { p.args = append(p.args, more...) }

// RemoveArgs removes flags, by their names, for the next start.
func (p *Program) RemoveArgs(names ...string) {
	p.args = slices.DeleteFunc(p.args, func(a string) bool {
		name, _, _ := strings.Cut(a, "=")
		return slices.Contains(names, name)
	})
}

// Start starts the process and returns once it listens on its addresses.
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

// Kill ends the process at once.
func (p *Program) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Stop sends SIGTERM and returns the exit code once the process has ended.
func (p *Program) Stop() int {
	p.Signal(syscall.SIGTERM)
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}

// Running reports whether the process has not ended.
func (p *Program) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return p.cmd != nil
	}
}

// Stdout is what the process wrote to its standard output after its first line.
func (p *Program) Stdout() string {
	if p.stdout == nil {
		return ""
	}
	return p.stdout.String()
}

// Stderr is what the process wrote to its standard error.
func (p *Program) Stderr() string {
	if p.stderr == nil {
		return ""
	}
	return p.stderr.String()
}

// Get reads a JSON document from the process's control address and returns the status. With
// a nil into only the status is read.
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

// Await calls ok again and again until it returns true, or fails when ctx ends. what says in the
// error what was waited for.
func Await(ctx context.Context, what string, ok func(ctx context.Context) bool) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !ok(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("timed out waiting for %s", what)
		case <-tick.C:
		}
	}
	return nil
}

// AwaitReady waits until the process reports that it is ready.
func (p *Program) AwaitReady(ctx context.Context) error {
	return Await(ctx, p.Name+" ready", func(ctx context.Context) bool {
		status, err := p.Get(ctx, "/ready", nil)
		return err == nil && status == http.StatusOK
	})
}
