package controlplane

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

const (
	// departureCheckInterval is how often the recorder checks whether a pending departure is due.
	departureCheckInterval = 50 * time.Millisecond
	// departureSubmitTimeout bounds one attempt to record departures. A backend waits for less than
	// a second for the acknowledgment.
	departureSubmitTimeout = 700 * time.Millisecond
	// secondaryDelay is how long a replica that is not the coordinator waits before it records a
	// departure, since the coordinator usually has received the same report.
	secondaryDelay = 100 * time.Millisecond
	// departureRetryDelay is the pause after an attempt that was not committed.
	departureRetryDelay = 200 * time.Millisecond
	// ignoredRetryDelay is the pause after a coordinator of an older version has committed the
	// command without recording the departures.
	ignoredRetryDelay = 30 * time.Second
)

// departureRecorder records the departures that sidecars report in the control state, so that they
// outlive the processes of the sidecars and of all replicas. It records all pending departures with
// one command, and one command at a time. (DESIGN 9.1)
type departureRecorder struct {
	cluster  *cluster
	commands *commandRouter
	actors   *actor.System
	log      *slog.Logger
	mailbox  *actor.Mailbox

	// The actor owns the fields below. Durations count from started.
	started time.Time
	pending pendingDepartures
	// recording is set while a command is being executed.
	recording bool
	// pausedUntil is the time before which no command is submitted.
	pausedUntil time.Duration
}

// pendingDeparture is a departure that is not known to be recorded.
type pendingDeparture struct {
	instance   string
	reportedAt time.Duration
}

// pendingDepartures holds at most config.MaxDepartures departures, the oldest first.
type pendingDepartures []pendingDeparture

// add adds the instances that are not pending yet.
func (p pendingDepartures) add(instances []string, now time.Duration) pendingDepartures {
	for _, instance := range instances {
		if !slices.ContainsFunc(p, func(d pendingDeparture) bool { return d.instance == instance }) {
			p = append(p, pendingDeparture{instance: instance, reportedAt: now})
		}
	}
	return p[max(0, len(p)-config.MaxDepartures):]
}

// without removes the departures that a committed state records.
func (p pendingDepartures) without(state config.ControlState) pendingDepartures {
	return slices.DeleteFunc(p, func(d pendingDeparture) bool { return state.HasDeparted(d.instance) })
}

// due returns the instances that have been pending for at least a delay.
func (p pendingDepartures) due(delay, now time.Duration) (instances []string) {
	for _, departure := range p {
		if now-departure.reportedAt >= delay {
			instances = append(instances, departure.instance)
		}
	}
	return instances
}

type (
	// msgDeparturesReported reports departures that a sidecar has sent in a heartbeat.
	msgDeparturesReported struct{ instances []string }
	// msgDepartureCheck triggers a check of the pending departures.
	msgDepartureCheck struct{}
	// msgDeparturesSubmitted reports the result of a command that records departures.
	msgDeparturesSubmitted struct {
		instances []string
		result    consensus.CommandResult
	}
)

// newDepartureRecorder returns a recorder and starts its actor.
func newDepartureRecorder(cluster *cluster, commands *commandRouter, actors *actor.System, log *slog.Logger) *departureRecorder {
	r := &departureRecorder{cluster: cluster, commands: commands, actors: actors, log: log, started: time.Now()}
	r.mailbox = actors.Spawn("departure-recorder", r.handle)
	return r
}

// Run checks the pending departures until ctx ends.
func (r *departureRecorder) Run(ctx context.Context) {
	actor.Every(ctx, departureCheckInterval, func(ctx context.Context) { r.mailbox.Send(ctx, msgDepartureCheck{}) })
}

// Report records departures that a sidecar has reported. It does not wait until they are recorded:
// the sidecar sees that in the control state that it receives.
func (r *departureRecorder) Report(ctx context.Context, instances []string) {
	if len(instances) > 0 {
		r.mailbox.Send(ctx, msgDeparturesReported{instances})
	}
}

// handle processes the messages of the actor.
func (r *departureRecorder) handle(ctx context.Context, msg any) {
	now := time.Since(r.started)
	switch m := msg.(type) {
	case msgDeparturesReported:
		r.pending = r.pending.add(m.instances, now)
	case msgDeparturesSubmitted:
		r.finish(m, now)
	}
	if len(r.pending) > 0 && !r.recording && now >= r.pausedUntil {
		r.submit(ctx, now)
	}
}

// submit starts a command that records the departures that are due, if there are any.
func (r *departureRecorder) submit(ctx context.Context, now time.Duration) {
	if state, ok := r.committedState(); ok {
		r.pending = r.pending.without(state)
	}
	delay := secondaryDelay
	if r.cluster.IsCoordinator() {
		delay = 0
	}
	instances := r.pending.due(delay, now)
	if len(instances) == 0 {
		return
	}
	r.recording = true
	r.actors.Go(ctx, "record-departures", func(ctx context.Context) {
		submitCtx, cancel := context.WithTimeout(ctx, departureSubmitTimeout)
		defer cancel()
		command := consensus.Command{Kind: consensus.CommandRecordDepartures, Departed: instances}
		result := r.commands.submitDetached(submitCtx, command)
		r.mailbox.Send(ctx, msgDeparturesSubmitted{instances, result})
	})
}

// finish processes the result of a command. Departures that were not recorded stay pending.
func (r *departureRecorder) finish(m msgDeparturesSubmitted, now time.Duration) {
	r.recording = false
	switch {
	case m.result.Outcome != consensus.OutcomeCommitted:
		r.pausedUntil = now + departureRetryDelay
	case !m.result.State.HaveDeparted(m.instances):
		r.pausedUntil = now + ignoredRetryDelay
		r.log.Warn("the coordinator does not record departures: it runs an older version")
	default:
		r.pending = r.pending.without(m.result.State)
	}
}

// committedState returns the state of this replica if it is known to be committed.
func (r *departureRecorder) committedState() (state config.ControlState, ok bool) {
	acceptor := r.cluster.replica.Acceptor()
	return acceptor.State, acceptor.Committed > 0 && acceptor.Committed >= acceptor.Position.Revision
}
