package membership

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/transport"
)

// HeartbeatInterval is how often soft state is sent again.
const HeartbeatInterval = 500 * time.Millisecond // (ours)

const (
	// budgetRoundInterval is in every how many rounds of heartbeats budgets are exchanged.
	budgetRoundInterval = 4 // (ours)
	// minRoundInterval is the time between two rounds that HeartbeatNow asks for: a burst of
	// changes causes one.
	minRoundInterval = 20 * time.Millisecond // (ours)
	// heartbeatTimeout is how long the response to a heartbeat is waited for.
	heartbeatTimeout = ReplicaTimeout / 2
	// inboxSize is how many received heartbeats may wait for Run.
	inboxSize = 64
)

// DiscoveryDeps are the parts that a Discovery works with.
type DiscoveryDeps struct {
	Client *transport.Client
	Actors *actor.System
	// Local returns the process's own state: its Node or its Replica.
	Local func() Heartbeat
	// OnReplica, if set, is called with each status that came from the replica itself. It must
	// not block.
	OnReplica func(ctx context.Context, replica Replica)
	// OnResponse, if set, is called with each heartbeat that was responded to, before the
	// responder counts as live. It must not block.
	OnResponse func(ctx context.Context, sent, response Heartbeat)
}

// Discovery finds the control plane replicas and exchanges heartbeats with them. Run does the
// work; the other methods may be called from anywhere. (DESIGN 7.1)
type Discovery struct {
	DiscoveryDeps
	// addr is the process's own address, which it sends no heartbeats to.
	addr string

	seeds   atomic.Pointer[[]string]
	table   atomic.Pointer[ReplicaTable]
	digest  atomic.Uint64 // of table and ownReplica
	inbox   chan Heartbeat
	results chan heartbeatResult
	trigger chan struct{}

	// The following fields belong to Run.
	ownReplica *Replica // as last sent
	encoders   map[string]HeartbeatEncoder
	sequence   uint
	rounds     int
	lastRound  time.Time
}

// heartbeatResult is the outcome of sending a heartbeat.
type heartbeatResult struct {
	addr string
	sent Heartbeat
	// response is nil if there was none; refused says whether the connection was refused.
	response *Heartbeat
	refused  bool
}

// NewDiscovery makes a Discovery of the process at addr, without seeds.
func NewDiscovery(addr string, deps DiscoveryDeps) *Discovery {
	d := &Discovery{
		DiscoveryDeps: deps,
		addr:          addr,
		inbox:         make(chan Heartbeat, inboxSize),
		results:       make(chan heartbeatResult),
		trigger:       make(chan struct{}, 1),
		encoders:      map[string]HeartbeatEncoder{},
	}
	d.setTable(ReplicaTable{})
	d.SetSeeds(nil)
	return d
}

// SetSeeds replaces the addresses that get heartbeats while replicas are missing.
func (d *Discovery) SetSeeds(seeds []string) { d.seeds.Store(&seeds) }

// Seeds returns the addresses that SetSeeds set.
func (d *Discovery) Seeds() []string { return *d.seeds.Load() }

// Replicas returns what is known of the replicas now.
func (d *Discovery) Replicas() ReplicaTable { return *d.table.Load() }

// HeartbeatNow starts the next round of heartbeats at once.
func (d *Discovery) HeartbeatNow() {
	select {
	case d.trigger <- struct{}{}:
	default:
	}
}

// Receive takes a heartbeat or a response that arrived. It is dropped if too many wait, since
// its content will be sent again.
func (d *Discovery) Receive(h Heartbeat) {
	select {
	case d.inbox <- h:
	default:
	}
}

// Respond receives a heartbeat and returns the response as far as it concerns the replicas.
// own is the process's own status, nil if it is a sidecar.
func (d *Discovery) Respond(h Heartbeat, own *Replica) Heartbeat {
	if h.Replica != nil || h.ReplicaDigest != 0 || len(h.KnownReplicas) > 0 {
		d.Receive(h)
	}
	return d.Replicas().Respond(h, own, d.digest.Load())
}

// Run sends heartbeats and takes what is received until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	tick, requested := time.NewTicker(HeartbeatInterval), time.NewTimer(0)
	defer tick.Stop()
	defer requested.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.rounds++
			d.heartbeatAll(ctx, d.rounds%budgetRoundInterval == 0)
		case <-d.trigger:
			requested.Reset(max(0, minRoundInterval-time.Since(d.lastRound)))
		case <-requested.C:
			d.heartbeatAll(ctx, false)
		case h := <-d.inbox:
			d.observe(ctx, h)
		case result := <-d.results:
			d.handleResult(ctx, result)
		}
	}
}

// setTable publishes the table with its digest.
func (d *Discovery) setTable(t ReplicaTable) {
	d.table.Store(&t)
	d.digest.Store(t.Digest(d.ownReplica))
}

// observe takes what a heartbeat or a response says of the replicas. A replica that was not
// known gets a heartbeat at once.
func (d *Discovery) observe(ctx context.Context, h Heartbeat) {
	before := len(d.Replicas().Observed())
	next, sender := d.Replicas().ObserveHeartbeat(h, time.Now())
	d.setTable(next)
	if sender != nil && d.OnReplica != nil {
		d.OnReplica(ctx, *sender)
	}
	if len(next.Observed()) > before {
		d.HeartbeatNow()
	}
}

// handleResult takes the outcome of sending a heartbeat.
func (d *Discovery) handleResult(ctx context.Context, result heartbeatResult) {
	switch {
	case result.response != nil:
		next, resend := d.encoders[result.addr].Acknowledge(result.sent, *result.response)
		d.encoders[result.addr] = next
		d.observe(ctx, *result.response)
		if resend {
			d.sendHeartbeat(ctx, result.addr, d.fullHeartbeat(), false)
		}
	case result.refused:
		delete(d.encoders, result.addr) // the next process there has nothing yet
		d.setTable(d.Replicas().Refused(result.addr, time.Now()))
	}
}

// fullHeartbeat returns a heartbeat with the process's whole state.
func (d *Discovery) fullHeartbeat() Heartbeat {
	h := d.Local()
	d.ownReplica = h.Replica
	d.setTable(d.Replicas())
	h.KnownReplicas, h.TableDigest = d.Replicas().All(), d.digest.Load()
	d.sequence++
	if h.Node != nil {
		h.Node.Sequence = d.sequence
	}
	return h
}

// heartbeatAll sends a round of heartbeats. exchangeBudgets says whether counts by contract are
// sent and their sums asked for in this one.
func (d *Discovery) heartbeatAll(ctx context.Context, exchangeBudgets bool) {
	d.lastRound = time.Now()
	full := d.fullHeartbeat()
	targets := d.Replicas().HeartbeatTargets(d.addr, d.Seeds(), d.lastRound)
	maps.DeleteFunc(d.encoders, func(addr string, _ HeartbeatEncoder) bool { return !slices.Contains(targets, addr) })
	budgetSource := ""
	if exchangeBudgets {
		budgetSource = d.budgetSource()
	}
	for _, addr := range targets {
		full.WantBudgets = addr == budgetSource
		d.sendHeartbeat(ctx, addr, full, exchangeBudgets)
	}
}

// budgetSource returns the address of the replica that is asked for the sums of all nodes'
// counts; empty if none is live. Each one has the same sums. The choice spreads the sidecars
// evenly and is, as long as all replicas are live, the one that this sidecar watches too.
// (DESIGN 8.2)
func (d *Discovery) budgetSource() string {
	live := rendezvous.Rank(d.addr, d.Replicas().Live(d.lastRound), func(replica Replica) string { return replica.Addr })
	if len(live) == 0 {
		return ""
	}
	return live[0].Addr
}

// sendHeartbeat sends what one process lacks of a full heartbeat, without waiting for the
// response: Run gets the result.
func (d *Discovery) sendHeartbeat(ctx context.Context, addr string, full Heartbeat, includeBudgets bool) {
	result := heartbeatResult{addr: addr, sent: d.encoders[addr].Encode(full, includeBudgets)}
	result.sent.KnownDigest = d.Replicas().DigestAt(addr)
	d.Actors.Go(ctx, "heartbeat", func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		var response Heartbeat
		r := d.Client.Call(callCtx, addr, transport.ControlTraffic, KindHeartbeat, result.sent)
		result.refused = r.ConnectionRefused
		if r.Decode(&response) {
			result.response = &response
			if d.OnResponse != nil {
				d.OnResponse(ctx, result.sent, response)
			}
		}
		select {
		case d.results <- result:
		case <-ctx.Done():
		}
	})
}
