package controlplane

import (
	"context"
	"slices"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

// joinTimeout is how long a core that asks for a seat waits for the answer.
const joinTimeout = 2 * time.Second // (ours)

// changeBackoff is how long operators' orders have the proposer for themselves after a change
// of the set that was not taken.
const changeBackoff = time.Second // (ours)

// reconfigurer gives slots to cores that ask for one while this core is on duty, and has
// the set of slots changed. (DESIGN 6.5)
type reconfigurer struct {
	node        *Node
	mailbox     *actor.Mailbox
	planner     consensus.Reconfigurer
	started     time.Time
	changing    bool          // an order for a change is under way
	pausedUntil time.Duration // none before this
}

type (
	msgJoinRequested struct {
		request consensus.JoinRequest
	}
	msgTick           struct{}
	msgChangeFinished struct{ accepted bool }
)

// joinReply is the answer to a core that asks for a seat: its asking was heard.
type joinReply struct {
	Received bool `msgpack:"h"`
}

func newReconfigurer(n *Node) *reconfigurer {
	// A core counts as not live once it was unheard for Silence; the usher waits out
	// the rest.
	r := &reconfigurer{node: n, started: time.Now(), planner: consensus.Reconfigurer{RemovalDelay: max(0, n.cfg.GoneAfter-membership.ReplicaTimeout)}}
	r.mailbox = n.process.Actors.Spawn("usher", r.handle)
	return r
}

// run looks in rhythm until ctx ends.
func (r *reconfigurer) run(ctx context.Context) {
	tick := time.NewTicker(membership.HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.mailbox.Send(ctx, msgTick{})
		}
	}
}

// handleJoin answers a core that asks for a seat; what is not for this core is passed on
// to the one on duty.
func (r *reconfigurer) handleJoin(ctx context.Context, request transport.Request) (any, string) {
	var a consensus.JoinRequest
	if !request.Decode(&a) {
		return nil, "does not ask for a seat"
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if duty := r.node.coordinator(); duty.Addr != r.node.cfg.Advertise {
		var h joinReply
		if a.Forwarded {
			return nil, "not on duty"
		}
		a.Forwarded = true
		if !r.node.process.TransportClient.Call(ctx, duty.Addr, transport.ControlTraffic, consensus.KindJoin, a).Decode(&h) {
			return nil, "the core on duty does not answer"
		}
		return h, ""
	}
	r.mailbox.Send(ctx, msgJoinRequested{a})
	return joinReply{Received: true}, ""
}

func (r *reconfigurer) handle(ctx context.Context, msg any) {
	now, acceptor := time.Since(r.started), r.node.replica.Acceptor()
	switch m := msg.(type) {
	case msgJoinRequested:
		if acceptor.IsMember() && r.node.IsCoordinator() {
			if command, ok := r.planner.PlanJoin(m.request, acceptor, r.memberStatus(), now); ok {
				r.startChange(ctx, command)
			}
		}
	case msgTick:
		r.planner = r.planner.Observe(acceptor.MemberSets().Current, r.memberStatus(), now)
		if acceptor.IsMember() && r.node.IsCoordinator() {
			if command, ok := r.planner.PlanRemoval(acceptor, now); ok {
				r.startChange(ctx, command)
			}
		}
	case msgChangeFinished:
		if r.changing = false; !m.accepted {
			r.pausedUntil = now + changeBackoff
		}
	}
}

// startChange has the set changed, one change at a time.
func (r *reconfigurer) startChange(ctx context.Context, command consensus.Command) {
	if r.changing || time.Since(r.started) < r.pausedUntil {
		return
	}
	r.changing = true
	r.node.process.Actors.Go(ctx, "change-set", func(ctx context.Context) {
		result := r.node.execute(ctx, command)
		r.node.process.Log.Info("the set of slots", "comes", command.Joining.MemberID, "at", command.Joining.Addr, "goes", command.Leaving, "taken", string(result.Outcome), "stamp", result.State.Revision)
		r.mailbox.Send(ctx, msgChangeFinished{result.Outcome == consensus.OutcomeCommitted})
	})
}

// memberStatus tells of each slot whether its core is live; the own one is.
func (r *reconfigurer) memberStatus() map[int]consensus.MemberStatus {
	out := memberStatusByID(r.node.discovery.Replicas())
	if acceptor := r.node.replica.Acceptor(); acceptor.Self.MemberID != 0 {
		out[acceptor.Self.MemberID] = consensus.MemberStatus{Addr: r.node.cfg.Advertise, Live: true}
	}
	return out
}

func memberStatusByID(s membership.ReplicaTable) map[int]consensus.MemberStatus {
	now := time.Now()
	live := s.Live(now)
	out := map[int]consensus.MemberStatus{}
	for _, c := range s.All() {
		out[c.MemberID] = consensus.MemberStatus{
			Addr: c.Addr,
			Live: slices.ContainsFunc(live, func(l membership.Replica) bool { return l.MemberID == c.MemberID }),
		}
	}
	return out
}
