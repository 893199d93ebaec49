// Package process is what both programs have in common: starting, signals,
// HTTP listeners, and the ring log when something goes wrong. (DESIGN 11)
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

// Process is the frame that a program hangs its parts in.
type Process struct {
	Name        string
	Incarnation uint64
	LogRing     *ringlog.Ring
	Log         *slog.Logger
	// stdout prints to standard output.
	stdout          *slog.Logger
	Actors          *actor.System
	TransportClient *transport.Client
	TransportServer *transport.Server
	// Context ends all parts.
	Context     context.Context
	cancel      context.CancelFunc
	httpServers httpServerList
	// signals are those that came. They are taken from the start on: by its own, the runtime
	// would end a process that already serves.
	signals chan os.Signal
}

// Exit prints an exit's text where it belongs and ends the process, if it is
// one.
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

// New makes the frame: ring log, launcher, connections, host.
func New(name string, s settings.Common) *Process {
	var echo io.Writer
	if s.Echo {
		echo = os.Stderr
	}
	r := ringlog.New(s.LogLines, echo)
	p := &Process{Name: name, Incarnation: rand.Uint64(), LogRing: r, Log: slog.New(r), stdout: slog.New(slog.NewTextHandler(os.Stdout, nil)), signals: make(chan os.Signal, 4)}
	signal.Notify(p.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p.Context, p.cancel = context.WithCancel(context.Background())
	p.Actors = actor.New(p.Log, p.failInvariant)
	own := transport.Hello{Version: transport.ProtocolVersion, Node: s.Advertise, Incarnation: p.Incarnation}
	var from net.IP
	if ap := netip.MustParseAddrPort(s.Wire); !ap.Addr().IsUnspecified() {
		from = ap.Addr().AsSlice()
	}
	p.TransportClient = transport.NewClient(p.Actors, own, from)
	p.TransportServer = &transport.Server{Hello: own, Actors: p.Actors, Handlers: map[string]transport.Handler{}}
	return p
}

// Notice logs a rare line that operators want to see, and prints it too.
func (p *Process) Notice(message string, attributes ...any) {
	p.Log.Info(message, attributes...)
	p.stdout.Info(message, attributes...)
}

// failInvariant ends the process over a broken invariant: the one thing that does.
func (p *Process) failInvariant(part string, cause any, stack []byte) {
	p.Log.Error("broken invariant", "part", part, "cause", fmt.Sprint(cause))
	p.LogRing.WriteTo(os.Stderr)
	fmt.Fprintf(os.Stderr, "%s: broken invariant in %s: %v\n%s", p.Name, part, cause, stack)
	os.Exit(3)
}

// Fatal ends the process at its start, when it can't have what its settings say.
func (p *Process) Fatal(what string, err error) {
	p.LogRing.WriteTo(os.Stderr)
	fmt.Fprintf(os.Stderr, "%s: %s: %v\n", p.Name, what, err)
	os.Exit(1)
}

// Listen opens an address or fails the start.
func (p *Process) Listen(what, addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		p.Fatal(what, err)
	}
	return ln
}

// WaitForStop returns when the process is warned to stop; each SIGHUP calls reload.
func (p *Process) WaitForStop(reload func()) {
	for s := range p.signals {
		if s != syscall.SIGHUP {
			p.Log.Info("warned to stop", "signal", s.String())
			return
		}
		reload()
	}
}

// closeTimeout is how long parts may take to end once all that was handed over is done, or its
// time is over: what is left of the grace time by then is short.
const closeTimeout = 300 * time.Millisecond // (ours)

// Close ends all parts and waits for them, for endLimit at most.
func (p *Process) Close() {
	p.cancel()
	p.Actors.Stop()
	select {
	case <-p.Actors.Done():
	case <-time.After(closeTimeout):
	}
}
