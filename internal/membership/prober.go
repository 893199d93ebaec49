package membership

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/transport"
)

// KindProbe is the message kind of a Probe on the wire.
const KindProbe = "probe"

// Probe is the health check of one sidecar by another. The request is empty; the response has
// the responder's incarnation and its highest refutation.
type Probe struct {
	Incarnation uint64 `msgpack:"b"`
	Refutation  uint64 `msgpack:"i"`
}

// ProberDeps are the parts that a Prober works with.
type ProberDeps struct {
	Client *transport.Client
	Actors *actor.System
	// View returns all nodes that are known.
	View func() *View
	// OnChange is called when Suspects has changed. It must not block.
	OnChange func()
}

// Prober probes the nodes that its own node monitors and keeps the list of those that it
// suspects. (DESIGN 7.3)
type Prober struct {
	ProberDeps
	addr string

	suspects atomic.Pointer[[]Suspicion]
}

// NewProber makes a Prober of the node at addr.
func NewProber(addr string, deps ProberDeps) *Prober {
	p := &Prober{ProberDeps: deps, addr: addr}
	p.suspects.Store(&[]Suspicion{})
	return p
}

// Suspects returns the current suspicions. It may be called from anywhere.
func (p *Prober) Suspects() []Suspicion { return *p.suspects.Load() }

// probeResult is the outcome of a probe.
type probeResult struct {
	addr string
	// response is nil if there was none from the incarnation that was probed; refused tells
	// whether the connection was refused.
	response *Probe
	refused  bool
}

// Run probes in each HeartbeatInterval until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	detector := NewFailureDetector(p.addr)
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	results := make(chan probeResult)
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-results:
			detector.ObserveProbe(result.addr, result.response, result.refused)
			p.setSuspects(detector.Suspects(p.View().nodes))
		case <-tick.C:
			view := p.View()
			for _, addr := range detector.Monitored(view.Addrs()) {
				p.probe(ctx, view.nodes[addr], results)
			}
		}
	}
}

// setSuspects publishes the suspicions if they have changed.
func (p *Prober) setSuspects(suspects []Suspicion) {
	if slices.Equal(suspects, p.Suspects()) {
		return
	}
	p.suspects.Store(&suspects)
	p.OnChange()
}

// probe sends a probe to a node and, without waiting here, its result to results.
func (p *Prober) probe(ctx context.Context, n Node, results chan<- probeResult) {
	p.Actors.Go(ctx, "probe", func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, HeartbeatInterval)
		defer cancel()
		var response Probe
		r := p.Client.Call(callCtx, n.Addr, transport.ControlTraffic, KindProbe, Probe{})
		result := probeResult{addr: n.Addr, refused: r.ConnectionRefused}
		if r.Decode(&response) && response.Incarnation == n.Incarnation {
			result.response = &response
		}
		select {
		case results <- result:
		case <-ctx.Done():
		}
	})
}
