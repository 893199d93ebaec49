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

// HeartbeatInterval is the rhythm in which soft state is told again.
const HeartbeatInterval = 500 * time.Millisecond // (ours)

const (
	// budgetRoundInterval is in which beat tallies are told, and sums asked for.
	budgetRoundInterval = 4 // (ours)
	// minRoundInterval is how far hastened rounds are apart: a burst of changes is one.
	minRoundInterval = 20 * time.Millisecond // (ours)
)

// Discovery finds the cores and keeps heartbeating them. (DESIGN 7.1)
type Discovery struct {
	Local  func() Heartbeat
	Addr   string
	Client *transport.Client
	Actors *actor.System
	// OnReplica is told of each seat that spoke for itself; it must not wait.
	OnReplica func(ctx context.Context, replica Replica)
	// OnResponse, if set, is handed what was told and the response to it, before whoever
	// answered counts as heard; it must not wait.
	OnResponse func(ctx context.Context, sent, response Heartbeat)

	seeds   atomic.Pointer[[]string]
	table   atomic.Pointer[ReplicaTable]
	digest  atomic.Uint64 // of the table and the own seat
	inbox   chan Heartbeat
	results chan heartbeatResult
	trigger chan struct{}

	// What follows belongs to Run.
	ownReplica *Replica // the own one, as told last
	encoders   map[string]HeartbeatEncoder
	sequence   uint
	rounds     int
	lastRound  time.Time // the last round
}

// heartbeatResult is how a heartbeat went; response is nil if there is none.
type heartbeatResult struct {
	addr     string
	sent     Heartbeat
	response *Heartbeat
	refused  bool
}

// NewDiscovery makes a seeker; the exported fields are set by the caller.
func NewDiscovery() *Discovery {
	d := &Discovery{inbox: make(chan Heartbeat, 64), results: make(chan heartbeatResult), trigger: make(chan struct{}, 1), encoders: map[string]HeartbeatEncoder{}}
	d.setTable(ReplicaTable{})
	d.SetSeeds(nil)
	return d
}

// SetSeeds replaces the addresses that are asked while cores are missing.
func (d *Discovery) SetSeeds(seeds []string) { d.seeds.Store(&seeds) }

// Seeds are those addresses.
func (d *Discovery) Seeds() []string { return *d.seeds.Load() }

// Replicas is the current table.
func (d *Discovery) Replicas() ReplicaTable { return *d.table.Load() }

// HeartbeatNow makes the next round of heartbeats start at once.
func (d *Discovery) HeartbeatNow() {
	select {
	case d.trigger <- struct{}{}:
	default:
	}
}

// Receive takes what arrived in a heartbeat or its response; when the inbox is full it
// is dropped, since it will be told again.
func (d *Discovery) Receive(h Heartbeat) {
	select {
	case d.inbox <- h:
	default:
	}
}

// Respond is the response to a heartbeat, as far as it is of cores; own is the seat of whom
// answers, if it has one.
func (d *Discovery) Respond(h Heartbeat, own *Replica) Heartbeat {
	if h.Replica != nil || h.ReplicaDigest != 0 || len(h.KnownReplicas) > 0 {
		d.Receive(h)
	}
	return d.Replicas().Respond(h, own, d.digest.Load())
}

// Run heartbeats in rhythm until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	tick, rest := time.NewTicker(HeartbeatInterval), time.NewTimer(0)
	defer tick.Stop()
	defer rest.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.rounds++
			d.heartbeatAll(ctx, d.rounds%budgetRoundInterval == 0)
		case <-d.trigger:
			rest.Reset(max(0, minRoundInterval-time.Since(d.lastRound)))
		case <-rest.C:
			d.heartbeatAll(ctx, false)
		case h := <-d.inbox:
			d.observe(ctx, h)
		case result := <-d.results:
			d.handleResult(ctx, result)
		}
	}
}

// setTable swaps the table.
func (d *Discovery) setTable(t ReplicaTable) {
	d.table.Store(&t)
	d.digest.Store(t.Digest(d.ownReplica))
}

func (d *Discovery) observe(ctx context.Context, h Heartbeat) {
	before := len(d.Replicas().Observed())
	t, spoke := d.Replicas().ObserveHeartbeat(h, time.Now())
	d.setTable(t)
	if spoke != nil {
		d.OnReplica(ctx, *spoke)
	}
	if len(t.Observed()) > before {
		d.HeartbeatNow()
	}
}

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
		delete(d.encoders, result.addr) // who comes after it knows nothing
		d.setTable(d.Replicas().Refused(result.addr, time.Now()))
	}
}

// fullHeartbeat is a heartbeat that tells all.
func (d *Discovery) fullHeartbeat() Heartbeat {
	h := d.Local()
	d.ownReplica = h.Replica
	d.setTable(d.Replicas())
	h.KnownReplicas, h.TableDigest = d.Replicas().All(), d.digest.Load()
	if d.sequence++; h.Node != nil {
		h.Node.Sequence = d.sequence
	}
	return h
}

// heartbeatAll heartbeats everybody; due tells whether tallies and sums are.
func (d *Discovery) heartbeatAll(ctx context.Context, includeBudgets bool) {
	d.lastRound = time.Now()
	full, targets := d.fullHeartbeat(), d.Replicas().HeartbeatTargets(d.Addr, *d.seeds.Load(), d.lastRound)
	maps.DeleteFunc(d.encoders, func(addr string, _ HeartbeatEncoder) bool { return !slices.Contains(targets, addr) })
	// The sums come from the core that this one follows as long as all is well: each
	// core tells the same, and they are spread evenly. (DESIGN 8.2)
	sums := ""
	if live := rendezvous.Rank(d.Addr, d.Replicas().Live(d.lastRound), func(replica Replica) string { return replica.Addr }); includeBudgets && len(live) > 0 {
		sums = live[0].Addr
	}
	for _, addr := range targets {
		full.WantBudgets = addr == sums
		d.sendHeartbeat(ctx, addr, full, includeBudgets)
	}
}

// sendHeartbeat heartbeats one process with what it lacks.
func (d *Discovery) sendHeartbeat(ctx context.Context, addr string, full Heartbeat, includeBudgets bool) {
	result := heartbeatResult{addr: addr, sent: d.encoders[addr].Encode(full, includeBudgets)}
	result.sent.KnownDigest = d.Replicas().DigestAt(addr)
	d.Actors.Go(ctx, "heartbeat", func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, ReplicaTimeout/2)
		defer cancel()
		var h Heartbeat
		r := d.Client.Call(call, addr, transport.ControlTraffic, KindHeartbeat, result.sent)
		if result.refused = r.ConnectionRefused; r.Decode(&h) {
			if result.response = &h; d.OnResponse != nil {
				d.OnResponse(ctx, result.sent, h)
			}
		}
		select {
		case d.results <- result:
		case <-ctx.Done():
		}
	})
}
