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

// Exit codes in addition to those of settings.Exit.
const (
	// codeFatal is the exit code of Fatal: a resource that the settings require is not available.
	codeFatal = 1
	// codeBrokenInvariant is the exit code after a panic in a goroutine or actor.
	codeBrokenInvariant = 3
)

// closeTimeout is how long the goroutines of the process may take to end after all requests have
// finished or timed out. It is short because little of the grace period is left at that time.
const closeTimeout = 300 * time.Millisecond

// signalBacklog is the number of signals that are queued until WaitForStop is called.
const signalBacklog = 4

// Process contains the state that all parts of a program share.
type Process struct {
	// Name is the name of the program, used in messages.
	Name string
	// Incarnation is a random number that identifies this run of the program. It changes with
	// each restart.
	Incarnation uint64
	// Log writes to LogRing.
	Log     *slog.Logger
	LogRing *ringlog.Ring
	// Actors starts all goroutines and actors. It ends the process if one of them panics.
	Actors          *actor.System
	TransportClient *transport.Client
	// TransportServer is created without a listener. The listener and the handlers must be set
	// before it runs.
	TransportServer *transport.Server
	// Context is the context of all goroutines of the process. Close cancels it.
	Context context.Context

	cancel      context.CancelFunc
	stdout      *slog.Logger
	httpServers httpServerList
	// signals receives signals from New on. Otherwise the runtime would end the process if a
	// signal arrived before WaitForStop is called, when the process may already serve requests.
	signals chan os.Signal
}

// Exit prints e.Text and ends the process with e.Code if e.Now is set. The text is printed on
// standard output if the code is 0, and on standard error otherwise.
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

// New creates the process of a program and starts receiving signals. It opens no listeners.
func New(name string, cfg settings.Common) *Process {
	ring := ringlog.New(cfg.LogLines, echoWriter(cfg))
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
	p.Actors = actor.New(p.Log, p.exitOnPanic)
	hello := transport.Hello{Version: transport.ProtocolVersion, Node: cfg.Advertise, Incarnation: p.Incarnation}
	p.TransportClient = transport.NewClient(p.Actors, hello, sourceIP(cfg.Wire))
	p.TransportServer = &transport.Server{Hello: hello, Actors: p.Actors, Handlers: map[string]transport.Handler{}}
	return p
}

// echoWriter returns the writer that receives a copy of each log line, or nil if there is none.
func echoWriter(cfg settings.Common) io.Writer {
	if cfg.Echo {
		return os.Stderr
	}
	return nil
}

// sourceIP returns the source address for outgoing connections. It is the IP of listenAddr, so that
// peers see the address that the process listens on, or nil if that IP is unspecified.
func sourceIP(listenAddr string) net.IP {
	addr := netip.MustParseAddrPort(listenAddr).Addr() // the settings were validated
	if addr.IsUnspecified() {
		return nil
	}
	return addr.AsSlice()
}

// Notice logs a message and also prints it on standard output. It is for rare events that
// operators should see.
func (p *Process) Notice(message string, attributes ...any) {
	p.Log.Info(message, attributes...)
	p.stdout.Info(message, attributes...)
}

// exitOnPanic ends the process after a panic in the goroutine or actor with the name part. No other
// failure ends a running process.
func (p *Process) exitOnPanic(part string, cause any, stack []byte) {
	p.Log.Error("broken invariant", "part", part, "cause", fmt.Sprint(cause))
	p.LogRing.WriteTo(os.Stderr)
	fmt.Fprintf(os.Stderr, "%s: broken invariant in %s: %v\n%s", p.Name, part, cause, stack)
	os.Exit(codeBrokenInvariant)
}

// Fatal ends the process during start, when a resource that the settings require is not
// available. setting is the name of the setting.
func (p *Process) Fatal(setting string, err error) {
	p.LogRing.WriteTo(os.Stderr)
	fmt.Fprintf(os.Stderr, "%s: %s: %v\n", p.Name, setting, err)
	os.Exit(codeFatal)
}

// Listen listens on addr, which is the value of setting. If that fails, it ends the process with
// Fatal.
func (p *Process) Listen(setting, addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		p.Fatal(setting, err)
	}
	return ln
}

// WaitForStop blocks until the process receives SIGTERM or SIGINT. It calls reload for each SIGHUP.
func (p *Process) WaitForStop(reload func()) {
	for s := range p.signals {
		if s != syscall.SIGHUP {
			p.Log.Info("stop signal received", "signal", s.String())
			return
		}
		reload()
	}
}

// Close cancels Context, stops the actors and waits up to closeTimeout for all goroutines to end.
func (p *Process) Close() {
	p.cancel()
	p.Actors.Stop()
	select {
	case <-p.Actors.Done():
	case <-time.After(closeTimeout):
	}
}
