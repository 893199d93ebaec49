package dataplane

import (
	"context"
	"fmt"
	"os"
	"time"

	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/process"
)

// stop drains: unready at once, nothing new, what was handed over finishes.
// (DESIGN 11.3)
func (n *Node) stop() {
	warned, before := time.Now(), n.near.Counters.Snapshot()
	drain := n.reload.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	giveUpAt := warned.Add(drain - min(toAnswer, drain/4))
	n.giveUpAt.Store(&giveUpAt)
	n.draining.Store(true)
	n.steward.box.Send(ctx, msgDrain{})
	// Whoever sends clients here learns only at its next look that this node is not
	// ready: until then they are served.
	select {
	case <-time.After(min(n.set.ServeOn, drain/2)):
	case <-ctx.Done():
	}
	n.closed.Store(true)
	// A backend's outgoing calls belong to requests that were handed over.
	n.awaitIdle(ctx, giveUpAt)
	givenUp, attempts := n.near.Counters.InFlight.Load(), n.far.Counters.InFlight.Load()
	n.far.RefuseWaiting()
	n.giveUp(proxy.ErrStopping)
	n.awaitAnswered(ctx)
	// A client may be writing on an idle connection just as it is closed, and could
	// not know whether that was read: so it is told first, on the connection.
	parting, over := context.WithTimeout(ctx, linger)
	defer over()
	goodbye := proxy.ShutdownResponse(n.near.Dialect)
	farewell := process.ClosingResponse(goodbye.Header, goodbye.Body)
	n.webs[1].CloseIdle(parting, farewell)
	n.outgoing.part(parting, farewell)
	for _, w := range n.webs {
		w.Shutdown(ctx)
	}
	n.outgoing.stop(ctx)
	n.p.Close()
	n.reportStop(warned, before, givenUp, attempts)
}

// toAnswer is what of the time to stop is kept for answering what is still open: refused
// if it was not begun, its outcome unknown if it was. (DESIGN 11.3)
const toAnswer = 300 * time.Millisecond // (ours)

// awaitIdle waits until nothing is open, or its time is over.
func (n *Node) awaitIdle(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	awaitZero(ctx, func() int64 { return n.far.Counters.InFlight.Load() + n.near.Counters.InFlight.Load() })
}

// awaitAnswered waits until all requests of callers have got their answers.
func (n *Node) awaitAnswered(ctx context.Context) {
	awaitZero(ctx, n.near.Counters.InFlight.Load)
}

// awaitZero waits until a count is zero, or ctx ends.
func awaitZero(ctx context.Context, count func() int64) {
	tick := time.NewTicker(stopPoll)
	defer tick.Stop()
	for count() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// stopPoll is how often a stopping sidecar looks whether it is done.
const stopPoll = 10 * time.Millisecond // (ours)

// reportStop prints what became of the requests that came since the warning: the ring and
// the metrics end with the process. givenUp counts the requests of callers that were open
// when the time was over, attempts the ones for own backends.
func (n *Node) reportStop(warned time.Time, before proxy.Totals, givenUp, attempts int64) {
	total := n.near.Counters.Snapshot()
	fmt.Fprintf(os.Stdout, "stopped after=%v asked=%d answered=%d not-run=%d unknown=%d given-up=%d attempts-given-up=%d\n",
		time.Since(warned).Round(time.Millisecond), total.Requests-before.Requests, total.Answered-before.Answered,
		total.NotRun-before.NotRun, total.Unknown-before.Unknown, givenUp, attempts)
}
