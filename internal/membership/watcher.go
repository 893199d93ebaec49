package membership

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/transport"
)

// KindProbe is the call's kind on the wire.
const KindProbe = "probe"

// Probe is a watcher's question, empty, and its answer.
type Probe struct {
	Boot uint64 `msgpack:"b"`
	Inc  uint64 `msgpack:"i"`
}

// Watcher probes the nodes that this one watches. (DESIGN 7.3)
type Watcher struct {
	Own      string
	View     func() *View
	Net      *transport.Net
	Launcher *actor.Launcher
	// Changed is told when the accusations have changed.
	Changed func()

	accused atomic.Pointer[[]Accusation]
}

// NewWatcher makes a watcher; the exported fields are set by the caller.
func NewWatcher() *Watcher {
	w := &Watcher{}
	w.accused.Store(&[]Accusation{})
	return w
}

// Accused is whom this node accuses now.
func (w *Watcher) Accused() []Accusation { return *w.accused.Load() }

type probed struct {
	addr    string
	answer  *Probe
	refused bool
}

// Run probes in rhythm until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	watch := NewWatch(w.Own)
	tick := time.NewTicker(Beat)
	defer tick.Stop()
	back := make(chan probed)
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-back:
			watch.Probed(p.addr, p.answer, p.refused)
			accused := watch.Accused(w.View().nodes)
			if !slices.Equal(accused, w.Accused()) {
				w.accused.Store(&accused)
				w.Changed()
			}
		case <-tick.C:
			v := w.View()
			for _, addr := range watch.Membership(v.Addrs()) {
				n := v.nodes[addr]
				w.Launcher.Go(ctx, "probe", func(ctx context.Context) {
					call, cancel := context.WithTimeout(ctx, Beat)
					defer cancel()
					var a Probe
					r := w.Net.Call(call, addr, transport.Control, KindProbe, Probe{})
					p := probed{addr: addr, refused: r.Refused}
					if r.Into(&a) && a.Boot == n.Boot {
						p.answer = &a
					}
					select {
					case back <- p:
					case <-ctx.Done():
					}
				})
			}
		}
	}
}
