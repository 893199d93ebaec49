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

// changeBackoff is how long operators' commands have the proposer for themselves after a
// membership change that was not committed.
const changeBackoff = time.Second // (ours)

// reconfigurer admits replicas that ask to join, and removes members that have failed for good,
// while this replica is the coordinator: one change at a time. What to change is decided by
// consensus.MembershipPlanner. (DESIGN 6.5)
type reconfigurer struct {
	cluster  *cluster
	commands *commandRouter
	client   *transport.Client
	actors   *actor.System
	log      *slog.Logger
	mailbox  *actor.Mailbox

	// The rest belongs to the actor. Times are since started.
	started     time.Time
	planner     consensus.MembershipPlanner
	changing    bool          // a change is being executed
	pausedUntil time.Duration // no change begins before
}

type (
	// msgJoinRequested is a join request that came in.
	msgJoinRequested struct{ request consensus.JoinRequest }
	// msgTick has the members checked.
	msgTick struct{}
	// msgChangeFinished ends a change.
	msgChangeFinished struct{ committed bool }
)

// joinReply answers a consensus.JoinRequest. Received does not tell whether the replica was
// admitted: it learns that from the members' next messages.
type joinReply struct {
	Received bool `msgpack:"h"`
}

// newReconfigurer starts the reconfigurer's actor. A replica counts as failed only after
// membership.ReplicaTimeout; the removal delay is what is left of the setting after that.
func newReconfigurer(cfg settings.ControlPlane, cluster *cluster, commands *commandRouter, p *process.Process) *reconfigurer {
	r := &reconfigurer{
		cluster: cluster, commands: commands, client: p.TransportClient, actors: p.Actors, log: p.Log,
		started: time.Now(),
		planner: consensus.MembershipPlanner{RemovalDelay: max(0, cfg.GoneAfter-membership.ReplicaTimeout)},
	}
	r.mailbox = p.Actors.Spawn("reconfigurer", r.handle)
	return r
}

// Run has the members checked in each heartbeat interval until ctx ends.
func (r *reconfigurer) Run(ctx context.Context) {
	actor.Every(ctx, membership.HeartbeatInterval, func(ctx context.Context) { r.mailbox.Send(ctx, msgTick{}) })
}

// The errors that a request to join may be answered with. Their texts are part of the protocol.
var (
	errNotJoinRequest         = errors.New("does not ask for a seat")
	errNotCoordinator         = errors.New("not on duty")
	errCoordinatorUnreachable = errors.New("the core on duty does not answer")
)

// handleJoin answers a consensus.JoinRequest of a replica that is no member. A replica that is not
// the coordinator forwards the request to it, once.
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

// forwardJoin takes a join request to the coordinator, and its reply back.
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

// handle is the actor: it plans the next change and begins it.
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

// mayChange tells whether membership changes are this replica's to make.
func (r *reconfigurer) mayChange(acceptor consensus.Acceptor) bool {
	return acceptor.IsMember() && r.cluster.IsCoordinator()
}

// beginChange has a change executed unless one is under way, or one has just failed.
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
