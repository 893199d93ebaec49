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
	Incarnation uint64 `msgpack:"b"`
	Refutation  uint64 `msgpack:"i"`
}

// Prober probes the nodes that this one watches. (DESIGN 7.3)
type Prober struct {
	Addr   string
	View   func() *View
	Client *transport.Client
	Actors *actor.System
	// OnChange is told when the accusations have changed.
	OnChange func()

	suspects atomic.Pointer[[]Suspicion]
}

// NewProber makes a watcher; the exported fields are set by the caller.
func NewProber() *Prober {
	prober := &Prober{}
	prober.suspects.Store(&[]Suspicion{})
	return prober
}

// Suspects is whom this node accuses now.
func (prober *Prober) Suspects() []Suspicion { return *prober.suspects.Load() }

type probeResult struct {
	addr    string
	answer  *Probe
	refused bool
}

// Run probes in rhythm until ctx ends.
func (prober *Prober) Run(ctx context.Context) {
	detector := NewFailureDetector(prober.Addr)
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	back := make(chan probeResult)
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-back:
			detector.ObserveProbe(result.addr, result.answer, result.refused)
			suspects := detector.Suspects(prober.View().nodes)
			if !slices.Equal(suspects, prober.Suspects()) {
				prober.suspects.Store(&suspects)
				prober.OnChange()
			}
		case <-tick.C:
			v := prober.View()
			for _, addr := range detector.Monitored(v.Addrs()) {
				n := v.nodes[addr]
				prober.Actors.Go(ctx, "probe", func(ctx context.Context) {
					call, cancel := context.WithTimeout(ctx, HeartbeatInterval)
					defer cancel()
					var a Probe
					r := prober.Client.Call(call, addr, transport.ControlTraffic, KindProbe, Probe{})
					result := probeResult{addr: addr, refused: r.ConnectionRefused}
					if r.Decode(&a) && a.Incarnation == n.Incarnation {
						result.answer = &a
					}
					select {
					case back <- result:
					case <-ctx.Done():
					}
				})
			}
		}
	}
}
