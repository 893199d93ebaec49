package sidecar

import (
	"context"
	"fmt"
	"os"
	"time"

	"curlewwalk/relay"
)

// stop drains: unready at once, nothing new, what was handed over finishes.
// (DESIGN 11.3)
func (n *Node) stop() {
	warned, before := time.Now(), n.near.Counts.Read()
	n.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.reload.Drain())
	defer cancel()
	n.steward.box.Send(ctx, msgDrain{})
	// Whoever sends clients here learns only at its next look that this node is not
	// ready: until then they are served.
	select {
	case <-time.After(min(n.set.ServeOn, n.reload.Drain()/2)):
	case <-ctx.Done():
	}
	n.closed.Store(true)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	// A backend's outgoing calls belong to requests that were handed over.
	for n.far.Counts.Open.Load() > 0 || n.near.Counts.Open.Load() > 0 {
		select {
		case <-tick.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	givenUp, attempts := n.near.Counts.Open.Load(), n.far.Counts.Open.Load()
	// A client may be writing on an idle connection just as it is closed, and could
	// not know whether that was read: so it is told first, on the connection.
	parting, over := context.WithTimeout(ctx, linger)
	defer over()
	n.webs[1].Part(parting, relay.Farewell(n.near.Dialect))
	n.outgoing.part(parting)
	for _, w := range n.webs {
		w.Stop(ctx)
	}
	n.outgoing.stop(ctx)
	n.p.End()
	n.reportStop(warned, before, givenUp, attempts)
}

// reportStop prints what became of the requests that came since the warning: the ring and
// the metrics end with the process. givenUp counts the requests of callers that were open
// when the time was over, attempts the ones for own backends.
func (n *Node) reportStop(warned time.Time, before relay.Totals, givenUp, attempts int64) {
	total := n.near.Counts.Read()
	fmt.Fprintf(os.Stdout, "stopped after=%v asked=%d answered=%d not-run=%d unknown=%d given-up=%d attempts-given-up=%d\n",
		time.Since(warned).Round(time.Millisecond), total.Requests-before.Requests, total.Answered-before.Answered,
		total.NotRun-before.NotRun, total.Unknown-before.Unknown, givenUp, attempts)
}
