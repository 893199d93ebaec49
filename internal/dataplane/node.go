// Package dataplane puts the parts of the data plane together. (DESIGN 1)
package dataplane

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/process"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/settings"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/transport"
)

// linger is how long a drained sidecar takes at most to say farewell on its clients'
// connections. (ours)
const linger = 2 * time.Second

// sureFor is how old a claim may be for a sidecar to say of itself that there is no way
// for a request: words are to be in force within it.
const sureFor = 2 * time.Second // (ours)

const (
	// workers is how many drain the trace queue. (ours)
	workers = 2
	// publishEvery is how long events wait for others to be published with. (ours)
	publishEvery = 300 * time.Millisecond
)

// Doors are how others than the project's own speak to a sidecar. (DESIGN 18)
type Doors struct {
	// Dialect words what callers and backends say.
	Dialect proxy.Dialect
	// Open opens further addresses.
	Open func(n *Node)
}

// Node is a sidecar with its parts.
type Node struct {
	p        *process.Process
	set      settings.Sidecar
	steward  *steward
	seeker   *membership.Discovery
	near     *proxy.Outbound
	far      *proxy.Inbound
	holder   *keyreplication.ReplicaServer
	queue    *trace.Queue
	outgoing *outgoing
	dialect  proxy.Dialect
	// draining: not ready, and no new attempts. closed: no new requests either.
	draining, closed atomic.Bool
	// giveUpAt is when what is open will be answered, of a node that is being stopped; nil
	// before. giveUp does so.
	giveUpAt atomic.Pointer[time.Time]
	giveUp   context.CancelCauseFunc
	reload   *process.Reloader
	webs     []*process.HTTPServer
}

// Run prints the signal of readiness, the addresses that really stand, and returns when
// the sidecar has been warned and stopped in order; read reads the settings again.
func (n *Node) Run(read func() (settings.Sidecar, settings.Exit)) {
	fmt.Fprintf(os.Stdout, "started wire=%s control=%s inquiries=%s\n", n.p.TransportServer.Addr(), n.webs[0].Listener.Addr(), n.webs[1].Listener.Addr())
	n.p.WaitForStop(func() {
		next, exit := read()
		n.reload.Reload(n.p, n.set, next, next.Common, exit)
	})
	n.stop()
}

// Process is the frame that the sidecar hangs in.
func (n *Node) Process() *process.Process { return n.p }

// claimed tells whether this sidecar may admit: its claim is young, or so many
// cores are dead that no newer word can be acknowledged, and most sidecars agree
// that there is none. (DESIGN 7.2, 7.4)
func (n *Node) claimed() bool {
	now := time.Now()
	return n.steward.claim.Age(now) <= endpoints.LeaseDuration || n.steward.agreed.Age(now) <= endpoints.LeaseDuration && n.seeker.Replicas().QuorumLost(now)
}

// unsure tells whether a newer word may have been in force elsewhere for so long that
// this sidecar's saying that there is no such way would be wrong. (DESIGN 7.2)
func (n *Node) unsure() bool {
	now := time.Now()
	return n.steward.claim.Age(now) > sureFor && (n.steward.agreed.Age(now) > endpoints.LeaseDuration || !n.seeker.Replicas().QuorumLost(now))
}

// behind tells whether this sidecar must not choose routes by what it knows: a live core
// tells that a newer word is settled, and no core has been sure towards this sidecar for so
// long that the newer one is to be in force by now. One that hears no core at all goes on;
// who admits is bound by its own claim. (DESIGN 7.2)
func (n *Node) behind() bool {
	now := time.Now()
	return n.steward.claim.Age(now) > sureFor && n.seeker.Replicas().CommittedPast(n.steward.table.Load().Revision, now)
}

// shut tells whether clients' requests are refused. The calls of an own backend belong
// to requests that were handed over: where they can't be told from clients', all that
// surely end before the stop does are taken while it runs one. (DESIGN 11.3)
func (n *Node) shut() bool {
	return n.closed.Load() && (n.set.Caller == "" || n.far.Counters.InFlight.Load() == 0)
}

// stopsAt tells until when what is still taken must have ended, once clients are refused.
func (n *Node) stopsAt() (end time.Time, stopping bool) {
	at := n.giveUpAt.Load()
	if at == nil || !n.closed.Load() {
		return time.Time{}, false
	}
	return *at, true
}

// heartbeat answers another process.
func (n *Node) heartbeat(_ context.Context, in transport.Request) (any, string) {
	var h membership.Heartbeat
	if !in.Into(&h) {
		return nil, "not a heartbeat"
	}
	return n.seeker.Respond(h, nil), ""
}

// collector is the first live core by rendezvous of the trace id, of those of the own
// zone if there are any. (DESIGN 2.6)
func (n *Node) collector(id trace.TraceID) (string, bool) {
	live := n.seeker.Replicas().Live(time.Now())
	own := slices.DeleteFunc(slices.Clone(live), func(c membership.Replica) bool { return c.Zone != n.set.Zone })
	if len(own) > 0 {
		live = own
	}
	live = rendezvous.Rank(id.String(), live, func(c membership.Replica) string { return fmt.Sprint(c.MemberID) })
	if len(live) == 0 {
		return "", false
	}
	return live[0].Addr, true
}

func (n *Node) publish(ctx context.Context, collector string, batch []trace.Event) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var t tracestore.PublishReply
	return n.p.TransportClient.Call(ctx, collector, transport.Control, tracestore.KindPublish, tracestore.Batch{Events: slices.Clone(batch)}).Into(&t)
}
