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
	// tickInterval is how often the state machines are told the time.
	tickInterval = 50 * time.Millisecond // (ours)
	// readIndexInterval is how often a majority is asked for a newer state.
	readIndexInterval = 300 * time.Millisecond // (ours)
	// messageTimeout is how long a message to an acceptor may take, its write to disk included.
	messageTimeout = 2 * time.Second // (ours)
)

// Config is what a replica is made of.
type Config struct {
	// Store keeps the acceptor. It is the replica's alone.
	Store *storage.Store
	// Bootstrap is what the settings say; it matters while the disk is empty.
	Bootstrap Bootstrap
}

// Deps is what a replica needs of its process. All but OnHealthChange must be set.
type Deps struct {
	Actors *actor.System
	Client *transport.Client
	Log    *slog.Logger
	Peers  Peers
	// OnCommit is called with each newly committed state, in the order of their revisions.
	// Some may be left out: a state has all that those before it had.
	OnCommit func(ctx context.Context, state config.ControlState)
	// OnReadConfirmed is called when no state newer than the last one passed to OnCommit had
	// been acknowledged at a moment.
	OnReadConfirmed func(ctx context.Context, at time.Time)
	// OnHealthChange is called when Healthy has changed; it must not wait. Nil: nobody is.
	OnHealthChange func()
}

// Peers tells where the other replicas are.
type Peers interface {
	// Addr finds the replica that has a member ID, or would get it.
	Addr(memberID int) (string, bool)
	// IsCoordinator reports whether this replica is the live and healthy member with the lowest
	// member ID, as far as it knows.
	IsCoordinator() bool
}

// Replica runs the acceptor and the proposer of one control plane. What it holds belongs to
// the goroutine of its mailbox, which waits neither for the disk nor for the network; other
// goroutines read the published acceptor and health. (DESIGN 6)
type Replica struct {
	deps    Deps
	started time.Time
	mailbox *actor.Mailbox
	store   *stateStore

	published atomic.Pointer[Acceptor]
	health    atomic.Pointer[Health]

	members *memberClient
	reader  *quorumReader

	acceptor    Acceptor // as it is on disk
	proposer    *Proposer
	transitions transitionQueue
	commands    pendingCommands
	commits     commitTracker
	joining     joinAttempts
	// reportedHealthy is what OnHealthChange was called for last.
	reportedHealthy bool
	// lastProbe is when a disk with a fault was tried last.
	lastProbe time.Duration
	// lastAttempt is when the replica last tried to join, or, once established, to have an
	// uncommitted state committed.
	lastAttempt time.Duration
}

// New loads the acceptor from disk and starts the replica's mailbox; Run starts its timers.
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

// Run keeps time until ctx ends.
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

// Acceptor is the acceptor as it is on disk.
func (r *Replica) Acceptor() Acceptor { return *r.published.Load() }

// now is the time since the replica's start.
func (r *Replica) now() time.Duration { return time.Since(r.started) }

// handle takes one event after the other.
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

// tick lets time pass. Only an established acceptor has a proposer beside it that is ticked. That
// of a static member whose disk is empty, or was lost, tries to become the member instead.
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

// handleReady does what the proposer wants.
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

// publishAcceptor shows the acceptor to other goroutines.
func (r *Replica) publishAcceptor() {
	acceptor := r.acceptor
	r.published.Store(&acceptor)
}

// deliver passes a committed state on, if it is newer than the last one.
func (r *Replica) deliver(ctx context.Context, state config.ControlState) {
	if r.commits.deliver(state.Revision) {
		r.deps.OnCommit(ctx, state)
	}
}
