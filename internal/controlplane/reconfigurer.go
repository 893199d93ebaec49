package controlplane

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/process"
	"curlewwalk/internal/settings"
	"curlewwalk/internal/transport"
)

// changeBackoff is the pause in membership changes after a change that was not committed. During
// the pause the proposer is free for the commands of operators.
const changeBackoff = time.Second

// reconfigurer admits replicas that request to join and removes members that have failed
// permanently, while this replica is the coordinator. It executes one change at a time.
// consensus.MembershipPlanner decides on the changes. (DESIGN 6.5)
type reconfigurer struct {
	cluster  *cluster
	commands *commandRouter
	client   *transport.Client
	actors   *actor.System
	log      *slog.Logger
	mailbox  *actor.Mailbox

	// The actor owns the fields below. Durations count from started.
	started     time.Time
	planner     consensus.MembershipPlanner
	changing    bool          // a change is being executed
	pausedUntil time.Duration // no change begins before this time
}

type (
	// msgJoinRequested reports a join request.
	msgJoinRequested struct{ request consensus.JoinRequest }
	// msgTick triggers a check of the members.
	msgTick struct{}
	// msgChangeFinished reports the end of a change.
	msgChangeFinished struct{ committed bool }
)

// joinReply is the reply to a consensus.JoinRequest. Received only confirms the request. The
// replica learns from later messages of the members that it was admitted.
type joinReply struct {
	Received bool `msgpack:"h"`
}

// newReconfigurer returns a reconfigurer and starts its actor. A replica counts as failed only
// after membership.ReplicaTimeout, so the removal delay is the remainder of the GoneAfter setting.
func newReconfigurer(cfg settings.ControlPlane, cluster *cluster, commands *commandRouter, p *process.Process) *reconfigurer {
	r := &reconfigurer{
		cluster: cluster, commands: commands, client: p.TransportClient, actors: p.Actors, log: p.Log,
		started: time.Now(),
		planner: consensus.MembershipPlanner{RemovalDelay: max(0, cfg.GoneAfter-membership.ReplicaTimeout)},
	}
	r.mailbox = p.Actors.Spawn("reconfigurer", r.handle)
	return r
}

// Run triggers a check of the members once per heartbeat interval until ctx ends.
func (r *reconfigurer) Run(ctx context.Context) {
	actor.Every(ctx, membership.HeartbeatInterval, func(ctx context.Context) { r.mailbox.Send(ctx, msgTick{}) })
}

// Error replies to a join request. Their texts are part of the protocol.
var (
	errNotJoinRequest         = errors.New("does not ask for a seat")
	errNotCoordinator         = errors.New("not on duty")
	errCoordinatorUnreachable = errors.New("the core on duty does not answer")
)

// handleJoin handles a consensus.JoinRequest of a replica that is not a member. If this replica is
// not the coordinator, it forwards the request to the coordinator. A request is forwarded only
// once.
func (r *reconfigurer) handleJoin(ctx context.Context, request transport.Request) (any, error) {
	var join consensus.JoinRequest
	if !request.Decode(&join) {
		return nil, errNotJoinRequest
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if coordinator := r.cluster.coordinator(); !r.cluster.isSelf(coordinator) {
		return r.forwardJoin(ctx, coordinator, join)
	}
	r.mailbox.Send(ctx, msgJoinRequested{join})
	return joinReply{Received: true}, nil
}

// forwardJoin forwards a join request to the coordinator and returns the reply.
func (r *reconfigurer) forwardJoin(ctx context.Context, coordinator membership.Replica, join consensus.JoinRequest) (any, error) {
	if join.Forwarded {
		return nil, errNotCoordinator
	}
	join.Forwarded = true
	var reply joinReply
	if !r.client.Call(ctx, coordinator.Addr, transport.ControlTraffic, consensus.KindJoin, join).Decode(&reply) {
		return nil, errCoordinatorUnreachable
	}
	return reply, nil
}

// handle processes the messages of the actor: it plans the next change and begins it.
func (r *reconfigurer) handle(ctx context.Context, msg any) {
	now, acceptor := time.Since(r.started), r.cluster.replica.Acceptor()
	switch m := msg.(type) {
	case msgJoinRequested:
		if r.mayChange(acceptor) {
			if command, ok := r.planner.PlanJoin(m.request, acceptor, r.cluster.memberStatuses(), now); ok {
				r.beginChange(ctx, command)
			}
		}
	case msgTick:
		r.planner = r.planner.Observe(acceptor.MemberSets().Current, r.cluster.memberStatuses(), now)
		if r.mayChange(acceptor) {
			if command, ok := r.planner.PlanRemoval(acceptor, now); ok {
				r.beginChange(ctx, command)
			}
		}
	case msgChangeFinished:
		r.changing = false
		if !m.committed {
			r.pausedUntil = now + changeBackoff
		}
	}
}

// mayChange reports whether this replica is responsible for membership changes.
func (r *reconfigurer) mayChange(acceptor consensus.Acceptor) bool {
	return acceptor.IsMember() && r.cluster.IsCoordinator()
}

// beginChange starts a change, unless another change is running or one failed within changeBackoff.
func (r *reconfigurer) beginChange(ctx context.Context, command consensus.Command) {
	if r.changing || time.Since(r.started) < r.pausedUntil {
		return
	}
	r.changing = true
	r.actors.Go(ctx, "membership-change", func(ctx context.Context) {
		result := r.commands.execute(ctx, command)
		r.log.Info("membership change finished",
			logJoining, command.Joining.MemberID, logAddress, command.Joining.Addr, logLeaving, command.Leaving,
			logOutcome, string(result.Outcome), logRevision, result.State.Revision)
		r.mailbox.Send(ctx, msgChangeFinished{result.Outcome == consensus.OutcomeCommitted})
	})
}
