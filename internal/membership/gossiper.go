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
	// maxUpdateAge is how old news from the cores must be before others are asked.
	maxUpdateAge = time.Second // (ours)
	// Fanout is how many others are asked at a beat, however many there are.
	Fanout = 3 // (ours)
	// maxFetchNodes is of how many nodes the soft state is asked for in one call.
	maxFetchNodes = 64 // (ours)
	// maxUnknownPeers is how many nodes that asked, and are not known, are kept.
	maxUnknownPeers = 16 // (ours)
)

// Gossiper asks a few of the other sidecars at each beat while no core tells news: for
// the newest word, for who they are, and for what they heard all others say of whether
// a majority of cores lives. (DESIGN 7.4)
type Gossiper struct {
	Addr   string
	Client *transport.Client
	Actors *actor.System
	// Node is this node's soft state, its stamp included; View all it knows.
	Node func() Node
	View func() *View
	// Replicas are the cores that it knows of.
	Replicas func() ReplicaTable
	// State is its word, if there is one.
	State func() *config.ControlState
	// Seeds are asked while no other node is known.
	Seeds func() []string
	// UpdateAge is how old the news from the cores is.
	UpdateAge func(now time.Time) time.Duration
	// OnUpdate is handed what a round brought, all at once; Sure as of when a majority
	// agreed, after each round in which one does.
	OnUpdate    func(ctx context.Context, f GossipUpdate)
	OnConfirmed func(asOf time.Time)

	statuses     atomic.Pointer[PeerStatusTable]
	unknownPeers chan string
	// What follows belongs to Run. Tests have clocks and limits of their own.
	cursor       int
	now          func() time.Time
	roundTimeout time.Duration
}

// GossipUpdate is what a round brought.
type GossipUpdate struct {
	// State is the newest that was told, if any was newer than the own one.
	State *config.ControlState
	// Nodes are soft states that differ from the own view, Dead the boots of nodes
	// whose processes are gone.
	Nodes         []Node
	Dead          map[string]uint64
	KnownReplicas []Replica
}

// NewGossiper makes a roll call; the exported fields are set by the caller.
func NewGossiper() *Gossiper {
	gossiper := &Gossiper{unknownPeers: make(chan string, maxUnknownPeers), now: time.Now, roundTimeout: HeartbeatInterval * 4 / 5}
	gossiper.statuses.Store(&PeerStatusTable{})
	return gossiper
}

// Run asks in rhythm until ctx ends.
func (gossiper *Gossiper) Run(ctx context.Context) {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if gossiper.UpdateAge(gossiper.now()) > maxUpdateAge {
				gossiper.round(ctx)
			}
		}
	}
}

// ownPeer is what this node tells of itself.
func (gossiper *Gossiper) ownPeer(now time.Time) Peer {
	n := gossiper.Node()
	return Peer{Addr: n.Addr, Incarnation: n.Incarnation, Version: n.Version, Status: &PeerStatus{AppliedRevision: n.AppliedRevision, QuorumLost: gossiper.Replicas().QuorumLost(now)}}
}

// HandleGossip handles a Gossip call.
func (gossiper *Gossiper) HandleGossip(_ context.Context, request transport.Request) (any, string) {
	var req GossipRequest
	if !request.Decode(&req) {
		return nil, "not a gossip"
	}
	v := gossiper.View()
	if f := req.Fetch; f != nil {
		return GossipResponse{Nodes: v.nodesAt(f.Nodes), State: gossiper.stateFor(*f)}, ""
	}
	if have, ok := v.nodes[req.Sender.Addr]; !ok || have.Incarnation != req.Sender.Incarnation {
		select {
		case gossiper.unknownPeers <- req.Sender.Addr:
		default: // it will ask again
		}
	}
	now := gossiper.now()
	out := GossipResponse{Peers: gossiper.statuses.Load().Report(gossiper.ownPeer(now), v, now)}
	if replicas := gossiper.Replicas(); replicas.Digest(nil) != req.Digest {
		out.KnownReplicas = replicas.All()
	}
	return out, ""
}

// stateFor is what a fetch is answered.
func (gossiper *Gossiper) stateFor(f Fetch) *config.ControlState {
	w := gossiper.State()
	if w == nil || !f.State || w.Revision <= f.Revision {
		return nil
	}
	out := *w
	if f.ConfigurationRevision != 0 && f.ConfigurationRevision == w.ConfigurationRevision {
		out.Configuration = nil
	}
	return &out
}

// gossipResult is how a call went; answer is nil if there is none.
type gossipResult struct {
	addr     string
	sentAt   time.Time
	response *GossipResponse
	refused  bool
}

// round asks a few others; it ends in less than a beat.
func (gossiper *Gossiper) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, gossiper.roundTimeout)
	defer cancel()
	view, own := gossiper.View(), gossiper.ownPeer(gossiper.now())
	revision := own.Status.AppliedRevision
	others := view.Addrs()
	if len(others) == 0 || len(others) == 1 && others[0] == gossiper.Addr {
		others = union(gossiper.Seeds(), nil)
	}
	others = slices.DeleteFunc(others, func(a string) bool { return a == gossiper.Addr })
	req := GossipRequest{Sender: Peer{Addr: own.Addr, Incarnation: own.Incarnation, Version: own.Version}, Digest: gossiper.Replicas().Digest(nil)}
	statuses := *gossiper.statuses.Load()
	var found GossipUpdate
	var answered []gossipResult
	for _, g := range gossiper.call(ctx, gossiper.targets(others, statuses, revision), req) {
		now := gossiper.now()
		switch {
		case g.response != nil:
			statuses = statuses.Observe(gossiper.Addr, g.response.Peers, g.sentAt, now)
			found.KnownReplicas = append(found.KnownReplicas, g.response.KnownReplicas...)
			answered = append(answered, g)
		case g.refused:
			statuses = statuses.MarkDead(g.addr, view.nodes[g.addr].Incarnation, g.sentAt, now)
		}
	}
	gossiper.statuses.Store(&statuses)
	gossiper.fetch(ctx, &found, req, answered, func(peers []Peer) []string { return statuses.Outdated(view, peers) })
	if found.Dead = statuses.deadIncarnations(view); found.hasChanges() {
		gossiper.OnUpdate(ctx, found)
	}
	if asOf, ok := statuses.ConfirmedAsOf(gossiper.Addr, revision, others, gossiper.now()); ok {
		gossiper.OnConfirmed(asOf)
	}
}

// call calls some others at the same time.
func (gossiper *Gossiper) call(ctx context.Context, addrs []string, req GossipRequest) (out []gossipResult) {
	back := make(chan gossipResult, len(addrs))
	for _, addr := range addrs {
		gossiper.Actors.Go(ctx, "gossip", func(ctx context.Context) {
			g := gossipResult{addr: addr, sentAt: gossiper.now()}
			var a GossipResponse
			r := gossiper.Client.Call(ctx, addr, transport.ControlTraffic, KindGossip, req)
			if g.refused = r.ConnectionRefused; r.Decode(&a) {
				g.response = &a
			}
			back <- g
		})
	}
	for range addrs {
		out = append(out, <-back)
	}
	return out
}

// targets are whom to ask at this beat: those that asked and are not known, the one that
// has the newest word, and others in turn, in an order that differs from node to node.
func (gossiper *Gossiper) targets(others []string, statuses PeerStatusTable, revision uint64) (out []string) {
	add := func(addr string) {
		if len(out) < Fanout && addr != gossiper.Addr && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	for range min(len(gossiper.unknownPeers), Fanout-1) {
		add(<-gossiper.unknownPeers)
	}
	if addr, ok := statuses.NewestAbove(revision); ok {
		add(addr)
	}
	ranked := rendezvous.Rank(gossiper.Addr, others, func(a string) string { return a })
	for range ranked {
		if len(out) == Fanout {
			break
		}
		gossiper.cursor++
		add(ranked[gossiper.cursor%len(ranked)])
	}
	return out
}

// fetch asks one of those that answered for what is lacking: the one with the newest
// word, if that is newer than the own one, or else the one that has most of it.
func (gossiper *Gossiper) fetch(ctx context.Context, found *GossipUpdate, req GossipRequest, answered []gossipResult, lacking func([]Peer) []string) {
	have, f, from := gossiper.State(), Fetch{}, ""
	if have != nil {
		f.Revision, f.ConfigurationRevision = have.Revision, have.ConfigurationRevision
	}
	newest := f.Revision
	for _, g := range answered {
		nodes, revision := lacking(g.response.Peers), g.response.statusOf(g.addr).AppliedRevision
		if revision > newest || !f.State && len(nodes) > len(f.Nodes) {
			f.State, f.Nodes, from = revision > newest, nodes, g.addr
			newest = max(newest, revision)
		}
	}
	if from == "" {
		return
	}
	f.Nodes = f.Nodes[:min(maxFetchNodes, len(f.Nodes))]
	req.Fetch = &f
	for _, g := range gossiper.call(ctx, []string{from}, req) {
		if g.response != nil {
			found.Nodes, found.State = g.response.Nodes, g.response.State
		}
	}
	if w := found.State; w != nil && w.Configuration == nil && have != nil && w.ConfigurationRevision == have.ConfigurationRevision {
		w.Configuration = have.Configuration
	}
}

func (f *GossipUpdate) hasChanges() bool {
	return f.State != nil || len(f.Nodes) > 0 || len(f.Dead) > 0 || len(f.KnownReplicas) > 0
}
