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

// HeartbeatInterval is the interval at which each process repeats its soft state.
const HeartbeatInterval = 500 * time.Millisecond

const (
	// budgetRoundInterval is the number of regular heartbeat rounds from one exchange of budgets to
	// the next. Rounds that HeartbeatNow requests do not count and exchange no budgets.
	budgetRoundInterval = 4
	// minRoundInterval is the minimum time from a round to the next one that HeartbeatNow requests,
	// so that a burst of changes causes a single round.
	minRoundInterval = 20 * time.Millisecond
	// heartbeatTimeout is how long the sender waits for the response to a heartbeat.
	heartbeatTimeout = ReplicaTimeout / 2
	// inboxSize is the maximum number of received heartbeats that wait for Run.
	inboxSize = 64
)

// DiscoveryDeps are the dependencies of a Discovery.
type DiscoveryDeps struct {
	Client *transport.Client
	Actors *actor.System
	// Local returns a heartbeat with only the process's own state set: Node in a sidecar, Replica
	// in a control plane replica.
	Local func() Heartbeat
	// OnReplica, if set, is called with each status that a replica sent of itself, in full or as a
	// digest. It is not called with statuses that another process passed on. It must not block.
	OnReplica func(ctx context.Context, replica Replica)
	// OnResponse, if set, is called with each response to a heartbeat, before the response is
	// recorded in the table of replicas. It must not block.
	OnResponse func(ctx context.Context, response Heartbeat)
}

// Discovery finds the control plane replicas and exchanges heartbeats with them. Run does the work;
// the other methods are safe for concurrent use. (DESIGN 7.1)
type Discovery struct {
	DiscoveryDeps
	// addr is the process's own address. No heartbeats are sent to it.
	addr string

	seeds   atomic.Pointer[[]string]
	table   atomic.Pointer[ReplicaTable]
	digest  atomic.Uint64 // of table and ownReplica
	inbox   chan Heartbeat
	results chan heartbeatResult
	trigger chan struct{}

	// Only Run accesses the following fields.
	ownReplica *Replica // as in the last heartbeat
	encoders   map[string]HeartbeatEncoder
	sequence   uint
	rounds     int
	lastRound  time.Time
}

// heartbeatResult is the outcome of sending a heartbeat.
type heartbeatResult struct {
	addr string
	sent Heartbeat
	// response is nil if none arrived. refused reports whether the connection was refused.
	response *Heartbeat
	refused  bool
}

// NewDiscovery returns a Discovery for the process at addr, without seeds.
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

// SetSeeds replaces the addresses that receive heartbeats while replicas are missing.
func (d *Discovery) SetSeeds(seeds []string) { d.seeds.Store(&seeds) }

// Seeds returns the addresses set by SetSeeds.
func (d *Discovery) Seeds() []string { return *d.seeds.Load() }

// Replicas returns the current table of replicas.
func (d *Discovery) Replicas() ReplicaTable { return *d.table.Load() }

// HeartbeatNow requests a round of heartbeats before the next one is due. It does not block.
func (d *Discovery) HeartbeatNow() {
	select {
	case d.trigger <- struct{}{}:
	default:
	}
}

// Receive queues a received heartbeat or response for Run. It discards the message if the queue is
// full, since later heartbeats repeat the content.
func (d *Discovery) Receive(h Heartbeat) {
	select {
	case d.inbox <- h:
	default:
	}
}

// Respond receives a heartbeat and returns the part of the response that concerns the replicas. own
// is the process's own status, or nil if the process is a sidecar.
func (d *Discovery) Respond(h Heartbeat, own *Replica) Heartbeat {
	if h.Replica != nil || h.ReplicaDigest != 0 || len(h.KnownReplicas) > 0 {
		d.Receive(h)
	}
	return d.Replicas().Respond(h, own, d.digest.Load())
}

// Run sends heartbeats and processes received messages until ctx is done.
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

// setTable publishes the table and its digest.
func (d *Discovery) setTable(t ReplicaTable) {
	d.table.Store(&t)
	d.digest.Store(t.Digest(d.ownReplica))
}

// observe records the information about replicas in a heartbeat or a response. If the message adds
// a replica to the observed ones, observe requests a round of heartbeats.
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

// handleResult processes the outcome of sending a heartbeat.
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
		delete(d.encoders, result.addr) // a new process at this address has no state yet
		d.setTable(d.Replicas().RecordRefusal(result.addr, time.Now()))
	}
}

// fullHeartbeat returns a heartbeat with the process's complete state.
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

// heartbeatAll sends a round of heartbeats. exchangeBudgets specifies whether this round sends the
// node's counts by contract and requests their sums over all nodes.
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

// budgetSource returns the address of the replica from which to request the sums of all nodes'
// counts, or "" if no replica is live. All replicas have the same sums. Rendezvous hashing
// distributes the sidecars evenly over the live replicas, regardless of zones.
//
// The watcher of this sidecar uses the same hashing, but ranks replicas that failed recently last
// and, among the others, prefers replicas in its own zone. It may therefore choose another replica.
// Both choose the same replica if no replica failed recently and either the highest-ranked live
// replica is in the sidecar's zone or no live replica is in that zone. (DESIGN 8.2)
func (d *Discovery) budgetSource() string {
	live := rendezvous.Rank(d.addr, d.Replicas().Live(d.lastRound), func(replica Replica) string { return replica.Addr })
	if len(live) == 0 {
		return ""
	}
	return live[0].Addr
}

// sendHeartbeat sends the part of a full heartbeat that the receiver lacks. It does not wait for
// the response: Run receives the outcome from results.
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
				d.OnResponse(ctx, response)
			}
		}
		select {
		case d.results <- result:
		case <-ctx.Done():
		}
	})
}
