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

// Probe is the health check of one sidecar by another. The request is empty. The response has the
// responder's incarnation and its highest refutation.
type Probe struct {
	Incarnation uint64 `msgpack:"b"`
	Refutation  uint64 `msgpack:"i"`
}

// ProberDeps are the dependencies of a Prober.
type ProberDeps struct {
	Client *transport.Client
	Actors *actor.System
	// View returns all known nodes.
	View func() *View
	// OnChange is called when the result of Suspects has changed. It must not block.
	OnChange func()
}

// Prober probes the nodes that its own node monitors and maintains the list of those that it
// suspects. (DESIGN 7.3)
type Prober struct {
	ProberDeps
	addr string

	suspects atomic.Pointer[[]Suspicion]
}

// NewProber returns a Prober for the node at addr.
func NewProber(addr string, deps ProberDeps) *Prober {
	p := &Prober{ProberDeps: deps, addr: addr}
	p.suspects.Store(&[]Suspicion{})
	return p
}

// Suspects returns the current suspicions. It is safe for concurrent use.
func (p *Prober) Suspects() []Suspicion { return *p.suspects.Load() }

// probeResult is the outcome of a probe.
type probeResult struct {
	addr string
	// response is nil if none arrived from the probed incarnation. refused reports whether the
	// connection was refused.
	response *Probe
	refused  bool
}

// Run probes the monitored nodes in each HeartbeatInterval until ctx is done.
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

// probe sends a probe to a node without waiting for the response. The outcome is sent to results.
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
