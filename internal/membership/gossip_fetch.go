package membership

import (
	"context"
	"errors"

	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// maxFetchNodes is the maximum number of nodes requested in one call.
const maxFetchNodes = 64

// errNotGossip is the response to a call that is not a GossipRequest. Its text is part of the
// protocol.
var errNotGossip = errors.New("not a gossip")

// HandleGossip responds to a GossipRequest.
func (g *Gossiper) HandleGossip(_ context.Context, in transport.Request) (any, error) {
	var req GossipRequest
	if !in.Decode(&req) {
		return nil, errNotGossip
	}
	view := g.View()
	if f := req.Fetch; f != nil {
		return GossipResponse{Nodes: view.nodesAt(f.Nodes), State: g.stateFor(*f)}, nil
	}
	if known, ok := view.nodes[req.Sender.Addr]; !ok || known.Incarnation != req.Sender.Incarnation {
		select {
		case g.unknownPeers <- req.Sender.Addr:
		default: // the sender repeats its request
		}
	}
	now := g.now()
	out := GossipResponse{Peers: g.statuses.Load().Report(g.ownPeer(now), view, now)}
	if replicas := g.Replicas(); replicas.Digest(nil) != req.Digest {
		out.KnownReplicas = replicas.All()
	}
	return out, nil
}

// stateFor returns the control state that a fetch requests, or nil if there is none to send.
func (g *Gossiper) stateFor(f Fetch) *config.ControlState {
	state := g.State()
	if state == nil || !f.State || state.Revision <= f.Revision {
		return nil
	}
	out := *state
	if f.ConfigurationRevision != 0 && f.ConfigurationRevision == state.ConfigurationRevision {
		out.Configuration = nil
	}
	return &out
}

// fetch requests missing state from one of the sidecars that responded and returns the state
// received. outdated returns the addresses of those peers in a response whose nodes the local view
// lacks or has in an older version or incarnation.
func (g *Gossiper) fetch(ctx context.Context, req GossipRequest, answered []gossipResult, outdated func([]Peer) []string) (update GossipUpdate) {
	have := g.State()
	addr, f := planFetch(have, answered, outdated)
	if addr == "" {
		return update
	}
	req.Fetch = &f
	for _, r := range g.call(ctx, []string{addr}, req) {
		if r.response != nil {
			update.Nodes, update.State = r.response.Nodes, r.response.State
		}
	}
	if state := update.State; state != nil && state.Configuration == nil &&
		have != nil && state.ConfigurationRevision == have.ConfigurationRevision {
		state.Configuration = have.Configuration
	}
	return update
}

// planFetch returns what to fetch and from which sidecar. It chooses the sidecar with the newest
// control state if that is newer than the local one, and otherwise the sidecar that has the most
// missing nodes. addr is empty if nothing is missing.
func planFetch(have *config.ControlState, answered []gossipResult, outdated func([]Peer) []string) (addr string, f Fetch) {
	if have != nil {
		f.Revision, f.ConfigurationRevision = have.Revision, have.ConfigurationRevision
	}
	newest := f.Revision
	for _, r := range answered {
		nodes := outdated(r.response.Peers)
		revision := r.response.statusOf(r.addr).AppliedRevision
		if revision > newest || !f.State && len(nodes) > len(f.Nodes) {
			f.State, f.Nodes, addr = revision > newest, nodes, r.addr
			newest = max(newest, revision)
		}
	}
	f.Nodes = f.Nodes[:min(maxFetchNodes, len(f.Nodes))]
	return addr, f
}
