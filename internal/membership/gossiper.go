package membership

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/transport"
)

const (
	// maxUpdateAge is the time without a response from the watched replica after which the sidecar
	// queries other sidecars.
	maxUpdateAge = time.Second
	// GossipFanout is the number of other sidecars queried in a round. It does not grow with the
	// number of sidecars.
	GossipFanout = 3
	// maxUnknownPeers is the maximum number of unknown sidecars that have sent a request and wait
	// to be queried.
	maxUnknownPeers = 16
	// roundTimeout is the maximum duration of a round. A round ends before the next one is due.
	roundTimeout = HeartbeatInterval * 4 / 5
)

// GossiperDeps are the dependencies of a Gossiper.
type GossiperDeps struct {
	Client *transport.Client
	Actors *actor.System
	// Node returns this sidecar's state, View all nodes that it knows, and Replicas the table of
	// control plane replicas.
	Node     func() Node
	View     func() *View
	Replicas func() ReplicaTable
	// State returns the control state in force, or nil if there is none.
	State func() *config.ControlState
	// Seeds returns the addresses to query while no other node is known.
	Seeds func() []string
	// UpdateAge returns the time since the arrival of the last watch response from a replica. It is
	// not the Age in watch.Updates.
	UpdateAge func(now time.Time) time.Duration
	// OnUpdate is called once per round with everything that the round found, unless it found
	// nothing.
	OnUpdate func(ctx context.Context, update GossipUpdate)
	// OnConfirmed is called after each round in which a majority of the sidecars confirms that it
	// had no newer control state in force at the time asOf (see PeerStatusTable.ConfirmedAsOf).
	OnConfirmed func(asOf time.Time)
}

// Gossiper replaces the control plane as far as possible while no replica delivers updates. In
// every HeartbeatInterval it queries a few other sidecars for the newest control state, for the
// nodes that they know, and for the statuses of all sidecars. A majority of the sidecars can
// confirm that the control state in force is still the newest. (DESIGN 7.4)
type Gossiper struct {
	GossiperDeps
	addr string

	statuses     atomic.Pointer[PeerStatusTable]
	unknownPeers chan string

	// Only Run accesses cursor. Tests replace now and roundTimeout.
	cursor       int
	now          func() time.Time
	roundTimeout time.Duration
}

// GossipUpdate is the result of a round.
type GossipUpdate struct {
	// State is a control state newer than the one in force, or nil if none was found.
	State *config.ControlState
	// Nodes are the nodes that the view lacks or has in an older version. Dead holds the
	// incarnations of nodes whose processes have ended, by address.
	Nodes         []Node
	Dead          map[string]uint64
	KnownReplicas []Replica
}

func (u *GossipUpdate) isEmpty() bool {
	return u.State == nil && len(u.Nodes) == 0 && len(u.Dead) == 0 && len(u.KnownReplicas) == 0
}

// NewGossiper returns a Gossiper for the sidecar at addr.
func NewGossiper(addr string, deps GossiperDeps) *Gossiper {
	g := &Gossiper{
		GossiperDeps: deps,
		addr:         addr,
		unknownPeers: make(chan string, maxUnknownPeers),
		now:          time.Now,
		roundTimeout: roundTimeout,
	}
	g.statuses.Store(&PeerStatusTable{})
	return g
}

// Run runs a round in each HeartbeatInterval while updates are missing, until ctx is done.
func (g *Gossiper) Run(ctx context.Context) {
	actor.Every(ctx, HeartbeatInterval, func(ctx context.Context) {
		if g.UpdateAge(g.now()) > maxUpdateAge {
			g.round(ctx)
		}
	})
}

// round queries a few sidecars and passes the results to OnUpdate and OnConfirmed.
func (g *Gossiper) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.roundTimeout)
	defer cancel()
	view, own := g.View(), g.ownPeer(g.now())
	revision, others := own.Status.AppliedRevision, g.others(view)
	req := GossipRequest{
		Sender: Peer{Addr: own.Addr, Incarnation: own.Incarnation, Version: own.Version},
		Digest: g.Replicas().Digest(nil),
	}
	statuses := *g.statuses.Load()
	results := g.call(ctx, g.targets(others, statuses, revision), req)
	statuses = g.observe(statuses, results, view)
	g.statuses.Store(&statuses)

	answered := slices.DeleteFunc(results, func(r gossipResult) bool { return r.response == nil })
	update := g.fetch(ctx, req, answered, func(peers []Peer) []string { return statuses.Outdated(view, peers) })
	update.Dead = statuses.deadIncarnations(view)
	for _, r := range answered {
		update.KnownReplicas = append(update.KnownReplicas, r.response.KnownReplicas...)
	}
	if !update.isEmpty() {
		g.OnUpdate(ctx, update)
	}
	if asOf, ok := statuses.ConfirmedAsOf(g.addr, revision, others, g.now()); ok {
		g.OnConfirmed(asOf)
	}
}

// ownPeer returns the Peer that describes this sidecar.
func (g *Gossiper) ownPeer(now time.Time) Peer {
	n := g.Node()
	status := PeerStatus{AppliedRevision: n.AppliedRevision, QuorumLost: g.Replicas().QuorumLost(now)}
	return Peer{Addr: n.Addr, Incarnation: n.Incarnation, Version: n.Version, Status: &status}
}

// others returns the addresses of the other sidecars that may be queried: all known ones, or the
// seeds if none is known.
func (g *Gossiper) others(view *View) []string {
	others := view.Addrs()
	if len(others) == 0 || len(others) == 1 && others[0] == g.addr {
		others = union(g.Seeds(), nil)
	}
	return slices.DeleteFunc(others, func(addr string) bool { return addr == g.addr })
}

// targets returns the sidecars to query in this round: unknown sidecars that sent a request, the
// sidecar with the newest control state, and the other sidecars in turn. Each sidecar uses a
// different order for the latter.
func (g *Gossiper) targets(others []string, statuses PeerStatusTable, revision uint64) (out []string) {
	add := func(addr string) {
		if len(out) < GossipFanout && addr != g.addr && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	for range min(len(g.unknownPeers), GossipFanout-1) {
		add(<-g.unknownPeers)
	}
	if addr, ok := statuses.NewestAbove(revision); ok {
		add(addr)
	}
	ranked := rendezvous.Rank(g.addr, others, func(addr string) string { return addr })
	for range ranked {
		if len(out) == GossipFanout {
			break
		}
		g.cursor++
		add(ranked[g.cursor%len(ranked)])
	}
	return out
}

// gossipResult is the outcome of a call.
type gossipResult struct {
	addr   string
	sentAt time.Time
	// response is nil if none arrived. refused reports whether the connection was refused.
	response *GossipResponse
	refused  bool
}

// call sends a request to several sidecars concurrently and waits for all results.
func (g *Gossiper) call(ctx context.Context, addrs []string, req GossipRequest) (out []gossipResult) {
	results := make(chan gossipResult, len(addrs))
	for _, addr := range addrs {
		g.Actors.Go(ctx, "gossip", func(ctx context.Context) {
			result := gossipResult{addr: addr, sentAt: g.now()}
			var response GossipResponse
			r := g.Client.Call(ctx, addr, transport.ControlTraffic, KindGossip, req)
			result.refused = r.ConnectionRefused
			if r.Decode(&response) {
				result.response = &response
			}
			results <- result
		})
	}
	for range addrs {
		out = append(out, <-results)
	}
	return out
}

// observe returns the statuses updated with the results of a round.
func (g *Gossiper) observe(statuses PeerStatusTable, results []gossipResult, view *View) PeerStatusTable {
	for _, r := range results {
		now := g.now()
		switch {
		case r.response != nil:
			statuses = statuses.Observe(g.addr, r.response.Peers, r.sentAt, now)
		case r.refused:
			statuses = statuses.MarkDead(r.addr, view.nodes[r.addr].Incarnation, r.sentAt, now)
		}
	}
	return statuses
}
