package consensus

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
	"curlewwalk/internal/transport"
)

const (
	// tickInterval is the period at which the replica passes the current time to its state
	// machines.
	tickInterval = 50 * time.Millisecond
	// readIndexInterval is the period at which the replica asks a majority for a newer state.
	readIndexInterval = 300 * time.Millisecond
	// messageTimeout bounds the handling of one message by an acceptor, including its write to
	// disk.
	messageTimeout = 2 * time.Second
)

// Config holds the storage and the bootstrap settings of a replica.
type Config struct {
	// Store holds the acceptor's files. No other component may use it.
	Store *storage.Store
	// Bootstrap holds the membership settings, most of which are used only while the disk is
	// empty.
	Bootstrap Bootstrap
}

// Deps holds the services that a replica uses. All fields except OnHealthChange must be set.
type Deps struct {
	Actors *actor.System
	Client *transport.Client
	Log    *slog.Logger
	Peers  Peers
	// OnCommit is called with newly committed states, in the order of their revisions.
	// Revisions may be skipped: each state includes the effects of all earlier ones.
	OnCommit func(ctx context.Context, state config.ControlState)
	// OnReadConfirmed is called with a time at which no state newer than the last one passed to
	// OnCommit had been acknowledged.
	OnReadConfirmed func(ctx context.Context, at time.Time)
	// OnHealthChange, if not nil, is called when the result of Healthy has changed. It must not
	// block.
	OnHealthChange func()
}

// Peers locates the other replicas and determines the coordinator.
type Peers interface {
	// Addr returns the address of the replica that last announced a member ID as its own. A
	// replica with static membership announces the ID in its settings even before it is
	// established.
	Addr(memberID int) (string, bool)
	// IsCoordinator reports whether this replica is the live and healthy member with the lowest
	// member ID, according to its local view of the membership.
	IsCoordinator() bool
}

// Replica runs the acceptor and the proposer of one control plane. Its state is owned by the
// goroutine of its mailbox, which never blocks on the disk or the network. Other goroutines
// read only the published acceptor and health. (DESIGN 6)
type Replica struct {
	deps    Deps
	started time.Time
	mailbox *actor.Mailbox
	store   *stateStore

	published atomic.Pointer[Acceptor]
	health    atomic.Pointer[Health]

	members *memberClient
	reader  *quorumReader

	acceptor    Acceptor // the state that is on disk
	proposer    *Proposer
	transitions transitionQueue
	commands    pendingCommands
	commits     commitTracker
	joining     joinAttempts
	// reportedHealthy is the health at the last call of OnHealthChange.
	reportedHealthy bool
	// lastDiskProbe is the time of the last probe write to a faulty disk.
	lastDiskProbe time.Duration
	// lastAttempt is the time of the last attempt to join. Once the replica is established, it
	// is the time of the last attempt to commit an uncommitted state.
	lastAttempt time.Duration
}

// New loads the acceptor from disk and starts the replica's mailbox. Run starts its timers.
func New(cfg Config, deps Deps) (*Replica, error) {
	store := newStateStore(cfg.Store)
	acceptor, err := store.load(cfg.Bootstrap)
	if err != nil {
		return nil, eris.Wrap(err, "load acceptor")
	}
	r := &Replica{
		deps: deps, started: time.Now(), store: store, acceptor: acceptor, proposer: &Proposer{},
		commands: pendingCommands{}, reportedHealthy: true,
	}
	r.members = &memberClient{actors: deps.Actors, client: deps.Client, peers: deps.Peers, local: r}
	r.reader = &quorumReader{members: r.members, local: r}
	r.proposer.FollowAcceptor(acceptor, 0)
	r.publishAcceptor()
	r.setHealth(Health{})
	r.mailbox = deps.Actors.Spawn("consensus", r.handle)
	return r, nil
}

// Run drives the replica's periodic work until ctx is done.
func (r *Replica) Run(ctx context.Context) {
	tick, readIndex := time.NewTicker(tickInterval), time.NewTicker(readIndexInterval)
	defer tick.Stop()
	defer readIndex.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.mailbox.Send(ctx, tickEvent{})
		case <-readIndex.C:
			r.deps.Actors.Go(ctx, "read-index", func(ctx context.Context) { r.observeQuorum(ctx) })
		}
	}
}

// Acceptor returns the acceptor's state that is on disk.
func (r *Replica) Acceptor() Acceptor { return *r.published.Load() }

// now returns the time since the replica's start.
func (r *Replica) now() time.Duration { return time.Since(r.started) }

// handle processes one event of the mailbox.
func (r *Replica) handle(ctx context.Context, event any) {
	now := r.now()
	switch e := event.(type) {
	case messageEvent:
		r.handleMessageEvent(ctx, e)
	case commandEvent:
		r.handleCommandEvent(ctx, e, now)
	case replyEvent:
		r.handleReady(ctx, r.proposer.HandleReply(e.reply, now))
	case savedEvent:
		r.handleSavedEvent(ctx, e)
	case bootstrapEvent:
		r.tryEstablish(ctx, e.replies)
	case joinEvent:
		r.completeJoin(ctx, e)
	case readIndexEvent:
		r.handleReadIndexEvent(ctx, e)
	case tickEvent:
		r.setHealth(r.Health().Ticked(now))
		r.tick(ctx, now)
	}
	if at, ok := r.commits.takeConfirmation(); ok {
		r.deps.OnReadConfirmed(ctx, at)
	}
}

// tick performs the periodic work of the replica. Only the proposer of an established acceptor
// is ticked. A replica whose disk is empty, or has lost its state, tries to join as the static
// member instead.
func (r *Replica) tick(ctx context.Context, now time.Duration) {
	r.rejectUnproposed(ctx, now)
	r.reportHealth(now)
	r.probeDisk(ctx, now)
	if r.acceptor.Removed() && !r.transitions.saving {
		r.deps.Log.Info("removed from the member set", "member_id", r.acceptor.Self.MemberID)
		r.rejoin(ctx, now)
	}
	switch r.acceptor.Phase {
	case PhaseJoining:
		return // controlplane.joinRequester asks the coordinator for membership
	case PhaseEmpty, PhaseLost:
		r.startJoin(ctx, now)
		return
	}
	r.proposer.FollowAcceptor(r.acceptor, now)
	if r.refreshDue(now) {
		r.refresh(ctx, now)
	}
	r.handleReady(ctx, r.proposer.Tick(now))
}

// handleReady sends the messages and answers the commands that the proposer returned.
func (r *Replica) handleReady(ctx context.Context, items []Ready) {
	for _, item := range items {
		if item.Result != nil {
			r.commands.answer(*item.Result)
		}
		for _, member := range item.To {
			r.deps.Actors.Go(ctx, "send-message", func(ctx context.Context) {
				if reply := r.members.send(ctx, member, *item.Message); reply != nil {
					r.mailbox.Send(ctx, replyEvent{*reply})
				}
			})
		}
	}
}

// publishAcceptor makes the acceptor's state visible to other goroutines.
func (r *Replica) publishAcceptor() {
	acceptor := r.acceptor
	r.published.Store(&acceptor)
}

// deliver passes a committed state to OnCommit if it is newer than the last delivered one.
func (r *Replica) deliver(ctx context.Context, state config.ControlState) {
	if r.commits.deliver(state.Revision) {
		r.deps.OnCommit(ctx, state)
	}
}
