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

// Program is one process of the system.
type Program struct {
	Name      string
	IP        string
	Control   string
	path      string
	args      []string
	clockFile string // the file that says by how much the wall clock has jumped
	diskFile  string // the file that says what trouble the disk has

	cmd    *exec.Cmd
	stdout *output
	stderr *output
	exited chan struct{}
}

// output keeps the end of what a process said.
type output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.buffer.Len() < 1<<20 {
		o.buffer.Write(p)
	}
	return len(p), nil
}

// String is what was said.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

// UseBinaries has the program come from other binaries at its next start.
func (p *Program) UseBinaries(b Binaries) { p.path = b.Path(filepath.Base(p.path)) }

// AddArgs adds flags for the next start.
func (p *Program) AddArgs(more ...string) { p.args = append(p.args, more...) }

// RemoveArgs takes flags away for the next start.
func (p *Program) RemoveArgs(names ...string) {
	p.args = slices.DeleteFunc(p.args, func(a string) bool {
		name, _, _ := strings.Cut(a, "=")
		return slices.Contains(names, name)
	})
}

// Start starts the process and returns once its addresses stand.
func (p *Program) Start() error {
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Env = append(os.Environ(), "CURLEWWALK_PROOF_CLOCK="+p.clockFile, "CURLEWWALK_PROOF_DISK="+p.diskFile)
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
		io.Copy(stdout, reader) // a full pipe would hold the process up
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

// Stop warns the process and returns its exit code once it has ended.
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

// Get reads a JSON page of the process's control address.
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

// Await asks again and again until ok, or fails when ctx ends.
func Await(ctx context.Context, what string, ok func(ctx context.Context) bool) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !ok(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waited in vain for: %s", what)
		case <-tick.C:
		}
	}
	return nil
}

// AwaitReady waits until the process says that it is ready.
func (p *Program) AwaitReady(ctx context.Context) error {
	return Await(ctx, p.Name+" ready", func(ctx context.Context) bool {
		status, err := p.Get(ctx, "/ready", nil)
		return err == nil && status == http.StatusOK
	})
}
