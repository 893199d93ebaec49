package process

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/ringlog"
	"curlewwalk/internal/settings"
	"curlewwalk/internal/transport"
)

// The exit codes, besides those of settings.Exit.
const (
	codeFatal           = 1
	codeBrokenInvariant = 3
)

// closeTimeout is how long parts may take to end once all requests have finished or their time is
// over: what is left of the grace time by then is short.
const closeTimeout = 300 * time.Millisecond // (ours)

// signalBacklog is how many signals may come before WaitForStop is called.
const signalBacklog = 4

// Process is what a program's parts share.
type Process struct {
	// Name is the program's, in messages.
	Name string
	// Incarnation is a random number of this run of the program: another one after a restart.
	Incarnation uint64
	// Log writes to LogRing.
	Log     *slog.Logger
	LogRing *ringlog.Ring
	// Actors runs all goroutines and actors, and ends the process if one panics.
	Actors          *actor.System
	TransportClient *transport.Client
	// TransportServer has no listener yet; its handlers are to be added before it runs.
	TransportServer *transport.Server
	// Context is that of all parts. Close cancels it.
	Context context.Context

	cancel      context.CancelFunc
	stdout      *slog.Logger
	httpServers httpServerList
	// signals are received from the start on: otherwise the runtime would end a process that
	// already serves.
	signals chan os.Signal
}

// Exit prints an exit's text and ends the process, if the exit says so.
func Exit(e settings.Exit) {
	if !e.Now {
		return
	}
	out := os.Stdout
	if e.Code != 0 {
		out = os.Stderr
	}
	fmt.Fprintln(out, e.Text)
	os.Exit(e.Code)
}

// New makes the process of a program. It starts receiving signals; nothing is listened on yet.
func New(name string, cfg settings.Common) *Process {
	ring := ringlog.New(cfg.LogLines, echo(cfg))
	p := &Process{
		Name:        name,
		Incarnation: rand.Uint64(),
		Log:         slog.New(ring),
		LogRing:     ring,
		stdout:      slog.New(slog.NewTextHandler(os.Stdout, nil)),
		signals:     make(chan os.Signal, signalBacklog),
	}
	signal.Notify(p.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p.Context, p.cancel = context.WithCancel(context.Background())
	p.Actors = actor.New(p.Log, p.failInvariant)
	hello := transport.Hello{Version: transport.ProtocolVersion, Node: cfg.Advertise, Incarnation: p.Incarnation}
	p.TransportClient = transport.NewClient(p.Actors, hello, sourceIP(cfg.Wire))
	p.TransportServer = &transport.Server{Hello: hello, Actors: p.Actors, Handlers: map[string]transport.Handler{}}
	return p
}

// echo is where log lines are written besides the ring; nil: nowhere.
func echo(cfg settings.Common) io.Writer {
	if cfg.Echo {
		return os.Stderr
	}
	return nil
}

// sourceIP is the address to connect from, so that others see the one that is listened on; nil if
// that is unspecified.
func sourceIP(listenAddr string) net.IP {
	addr := netip.MustParseAddrPort(listenAddr).Addr() // valid by the settings
	if addr.IsUnspecified() {
		return nil
	}
	return addr.AsSlice()
}

// Notice logs a rare line that operators want to see, and prints it on standard output too.
func (p *Process) Notice(message string, attributes ...any) {
	p.Log.Info(message, attributes...)
	p.stdout.Info(message, attributes...)
}

// failInvariant ends the process after a panic in one of its parts: the one thing that does.
func (p *Process) failInvariant(part string, cause any, stack []byte) {
	p.Log.Error("broken invariant", "part", part, "cause", fmt.Sprint(cause))
	p.LogRing.WriteTo(os.Stderr)
	fmt.Fprintf(os.Stderr, "%s: broken invariant in %s: %v\n%s", p.Name, part, cause, stack)
	os.Exit(codeBrokenInvariant)
}

// Fatal ends the process at its start, when it can't have what its settings say; setting is the
// name of the one.
func (p *Process) Fatal(setting string, err error) {
	p.LogRing.WriteTo(os.Stderr)
	fmt.Fprintf(os.Stderr, "%s: %s: %v\n", p.Name, setting, err)
	os.Exit(codeFatal)
}

// Listen listens on a setting's address, or ends the process by Fatal.
func (p *Process) Listen(setting, addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		p.Fatal(setting, err)
	}
	return ln
}

// WaitForStop returns when the process receives SIGTERM or SIGINT; each SIGHUP calls reload.
func (p *Process) WaitForStop(reload func()) {
	for s := range p.signals {
		if s != syscall.SIGHUP {
			p.Log.Info("stop signal received", "signal", s.String())
			return
		}
		reload()
	}
}

// Close ends all parts and waits for them, for closeTimeout at most.
func (p *Process) Close() {
	p.cancel()
	p.Actors.Stop()
	select {
	case <-p.Actors.Done():
	case <-time.After(closeTimeout):
	}
}
