package consensus

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// The kinds on the wire.
const (
	KindMessage = "ballot"
	KindCommand = "order"
	KindJoin    = "seat"
)

const (
	tickInterval           = 50 * time.Millisecond  // (ours)
	joinInterval           = 300 * time.Millisecond // how often an empty core tries for its seat (ours)
	messageTimeout         = 2 * time.Second        // (ours)
	commandTimeout         = 3 * time.Second        // how long an order may take (ours)
	reconfigurationTimeout = 2 * time.Second        // how long a change of the set may hold up others (ours)
	readIndexInterval      = 300 * time.Millisecond // how often a majority is asked for newer words (ours)
	quorumGracePeriod      = 100 * time.Millisecond // how long a complete round waits for what else it may tell (ours)
	// regainTimeout is how long an order waits for a contact that was missed; whoever
	// gave it takes a second of silence for a failure.
	regainTimeout = 700 * time.Millisecond // (ours)
	probeInterval = 500 * time.Millisecond // how often a disk that failed is tried (ours)
)

// Peers reaches the other slots.
type Peers interface {
	// Addr finds the core that sits, or would sit, in a slot.
	Addr(memberID int) (string, bool)
	// IsCoordinator tells whether this core is the first live and able one in the agreed order.
	IsCoordinator() bool
}

// Replica runs the acceptor and the proposer of one core on one thread, next to its
// disk. (DESIGN 6)
type Replica struct {
	Client *transport.Client
	Actors *actor.System
	Log    *slog.Logger
	Peers  Peers
	// OnCommit is told of each newly settled word.
	OnCommit func(ctx context.Context, state config.ControlState)
	// OnHealthChange is told when the core has become able or unable; it must not wait.
	OnHealthChange func()

	mailbox         *actor.Mailbox
	store           *StateStore
	acceptor        Acceptor
	proposer        *Proposer
	started         time.Time
	pendingCommands map[uint64]chan<- CommandResult
	lastJoinAttempt time.Duration
	// joining is whether a try for the seat is under way, and asked the highest
	// incarnation asked for so far. A seat taken under a lower one than another try
	// was granted would be no seat: there is one try at a time, and each asks for more.
	joining              bool
	requestedIncarnation uint64
	published            atomic.Pointer[Acceptor]
	health               atomic.Pointer[Health]
	// healthy is as Turned was told last, probed when the disk was tried last.
	healthy   bool
	lastProbe time.Duration
	// saving is whether a write to disk is under way; waiting is what comes after it.
	saving      bool
	transitions []transition
	// deliveredRevision is the stamp of the newest settled word that was passed on, seen the newest
	// mark that a majority showed, and unsettled whether it is not known to be settled.
	deliveredRevision uint64
	observedPosition  Position
	uncommitted       bool
	// OnReadConfirmed is told that as of a moment no newer word than the one under
	// this stamp had been acknowledged.
	OnReadConfirmed func(ctx context.Context, at time.Time)
	confirmation    readConfirmation
	// deltas has words told to other cores by differences.
	deltas deltaCodec
}

// readConfirmation is a look at a majority that waits for its stamp to be settled here.
type readConfirmation struct {
	startedAt time.Time
	revision  uint64
	pending   bool
}

type (
	messageEvent struct {
		message Message
		reply   chan<- *Reply
	}
	commandEvent struct {
		command Command
		reply   chan<- CommandResult
	}
	replyEvent struct{ reply Reply }
	savedEvent struct {
		next Acceptor
		err  error
		done func(ctx context.Context, ok bool)
	}
	bootstrapEvent struct {
		replies map[int]Reply
	}
	joinEvent struct {
		self    Sender
		replies map[int]Reply
	}
	readIndexEvent struct {
		startedAt time.Time
		// highest is the vote with the newest word; held tells whether majorities hold that.
		highest   Reply
		committed bool
	}
	tickEvent struct{}
)

// NewReplica loads the acceptor from disk and starts the keeper's actor.
func NewReplica(actors *actor.System, store *StateStore, bootstrap Bootstrap) (*Replica, error) {
	acceptor, err := store.Load(bootstrap)
	if err != nil {
		return nil, err
	}
	r := &Replica{Actors: actors, store: store, acceptor: acceptor, started: time.Now(), pendingCommands: map[uint64]chan<- CommandResult{}}
	r.proposer = &Proposer{}
	r.proposer.FollowAcceptor(acceptor, 0)
	r.publishAcceptor()
	r.healthy = true
	r.setHealth(Health{})
	r.mailbox = actors.Spawn("keeper", r.handle)
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
			r.Actors.Go(ctx, "look", func(ctx context.Context) { r.observeQuorum(ctx) })
		}
	}
}

// observeQuorum asks a majority whether there is a newer word; false if none answers. What was
// acknowledged before it began is among the answers. (DESIGN 7.2)
func (r *Replica) observeQuorum(ctx context.Context) bool {
	started := time.Now()
	highest, committed, ok := r.quorumRead(ctx, MsgReadIndex)
	if ok {
		r.mailbox.Send(ctx, readIndexEvent{startedAt: started, highest: highest, committed: committed})
	}
	return ok
}

// quorumRead asks a majority for the newest word, by a Look or a Read. held tells whether
// majorities are known to hold it; more than a majority are asked to find out.
func (r *Replica) quorumRead(ctx context.Context, messageType MessageType) (highest Reply, committed, ok bool) {
	self := r.Acceptor()
	if self.Phase != PhaseEstablished {
		return Reply{}, false, false
	}
	members := self.MemberSets()
	judge := func(replies map[int]Reply) quorumProgress {
		counted := CurrentReplies(replies)
		if !HasReadQuorum(counted, members) {
			return quorumPending
		}
		if _, committed := NewestState(counted, members); !committed {
			return quorumReached
		}
		return quorumConclusive
	}
	replies := CurrentReplies(r.collectReplies(ctx, Message{Sender: self.Self, Type: messageType}, judge))
	if !HasReadQuorum(replies, members) {
		return Reply{}, false, false
	}
	highest, committed = NewestState(replies, members)
	return highest, committed, true
}

// ReadIndex tells whether a majority answers a question put now, and the stamp of the
// newest word that it shows.
func (r *Replica) ReadIndex(ctx context.Context) (revision uint64, ok bool) {
	highest, _, ok := r.quorumRead(ctx, MsgReadIndex)
	return highest.Position.Revision, ok
}

// Acceptor shows the acceptor as it is on disk.
func (r *Replica) Acceptor() Acceptor { return *r.published.Load() }

// Health shows what the core can do.
func (r *Replica) Health() Health { return *r.health.Load() }

// Healthy tells whether the core can do what the duty asks for. (DESIGN 6.3)
func (r *Replica) Healthy() bool { return r.Health().Healthy(r.now()) }

// Connected tells whether a majority answered this core lately.
func (r *Replica) Connected() bool { return r.Health().Connected(r.now()) }

// RecentlyResumed tells whether the process was frozen just now.
func (r *Replica) RecentlyResumed() bool { return r.Health().RecentlyResumed(r.now()) }

// now is the time since the keeper's start.
func (r *Replica) now() time.Duration { return time.Since(r.started) }

func (r *Replica) setHealth(h Health) { r.health.Store(&h) }

// HandleMessage handles a ballot from the wire.
func (r *Replica) HandleMessage(ctx context.Context, request transport.Request) (any, string) {
	var message Message
	if !request.Decode(&message) {
		return nil, "not a ballot"
	}
	if reply := r.stepAcceptor(ctx, message); reply != nil {
		return reply, ""
	}
	return nil, "the disk does not take it"
}

func (r *Replica) stepAcceptor(ctx context.Context, message Message) *Reply {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	reply, _ := actor.Ask(ctx, r.mailbox, func(replyTo chan<- *Reply) any { return messageEvent{message, replyTo} })
	return reply
}

// HandleCommand handles an order that another core passed on.
func (r *Replica) HandleCommand(ctx context.Context, request transport.Request) (any, string) {
	var command Command
	if !request.Decode(&command) {
		return nil, "not an order"
	}
	return r.Submit(ctx, command).forSender(command), ""
}

// Submit carries an order out on this core. One that has missed the others asks them
// first: on a processor that is late, or just woken, the contact is only not known yet.
func (r *Replica) Submit(ctx context.Context, command Command) CommandResult {
	if !r.Connected() && !r.regainContact(ctx) {
		return CommandResult{Outcome: OutcomeRejected}
	}
	command.ID = rand.Uint64()
	command.Deadline = time.Since(r.started) + commandTimeout
	if command.Kind == CommandReconfigure {
		command.Deadline = time.Since(r.started) + reconfigurationTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout+time.Second)
	defer cancel()
	if result, ok := actor.Ask(ctx, r.mailbox, func(replyTo chan<- CommandResult) any { return commandEvent{command, replyTo} }); ok {
		return result
	}
	return CommandResult{Outcome: OutcomeUnknown}
}

// regainContact asks a majority at once; false if none answers.
func (r *Replica) regainContact(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, regainTimeout)
	defer cancel()
	return r.observeQuorum(ctx)
}

// LinearizableRead reads the newest word from a majority, and has it mended first if
// the majority does not hold it yet. (DESIGN 6.4)
func (r *Replica) LinearizableRead(ctx context.Context, refresh func(ctx context.Context) CommandResult) (config.ControlState, bool) {
	highest, committed, ok := r.quorumRead(ctx, MsgRead)
	if !ok {
		return config.ControlState{}, false
	}
	if committed {
		return highest.State, true
	}
	result := refresh(ctx)
	return result.State, result.Outcome == OutcomeCommitted
}

// readIndexAttempts is how often a majority is asked for the newest settled stamp, since what is
// being written is mostly settled a moment later. (ours)
const readIndexAttempts = 3

// CommittedRevision is the newest settled stamp: all that was acknowledged before it was asked for
// is at or below it. The newest word is mended first if no majority holds it yet.
func (r *Replica) CommittedRevision(ctx context.Context, refresh func(ctx context.Context) CommandResult) (uint64, bool) {
	for range readIndexAttempts {
		highest, committed, ok := r.quorumRead(ctx, MsgReadIndex)
		if !ok {
			return 0, false
		}
		if committed {
			return highest.Position.Revision, true
		}
	}
	result := refresh(ctx)
	return result.State.Revision, result.Outcome == OutcomeCommitted
}

// CatchUp copies a settled word that another core is known to have.
func (r *Replica) CatchUp(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var reply Reply
	self := r.Acceptor().Self
	if r.Client.Call(ctx, addr, transport.ControlTraffic, KindMessage, Message{Sender: self, Type: MsgRead}).Decode(&reply) && reply.Committed == reply.Position.Revision {
		r.stepAcceptor(ctx, Message{Sender: self, Type: MsgCommit, Term: reply.Position.Term, Position: reply.Position, State: reply.State})
	}
}

// quorumProgress is how far votes have come.
type quorumProgress int

// Votes that are partial decide nothing yet; those that are complete do, but a few more
// may tell more; those that are enough end the round.
const (
	quorumPending quorumProgress = iota
	quorumReached
	quorumConclusive
)

// collectReplies puts a ballot to all slots known of, and those that votes tell of, and
// returns the votes that came in time, or the first that judge finds enough. Without a
// judge all are waited for.
func (r *Replica) collectReplies(ctx context.Context, message Message, judge func(replies map[int]Reply) quorumProgress) map[int]Reply {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout/2)
	defer cancel()
	grace := time.NewTimer(messageTimeout)
	defer grace.Stop()
	progress := quorumPending
	own := r.Acceptor().MemberSets()
	received, pending, recipients := make(chan *Reply), 0, []config.Member{}
	ask := func(members []config.Member) {
		for _, member := range members {
			if slices.ContainsFunc(recipients, func(a config.Member) bool { return sameMember(a, member) }) {
				continue
			}
			recipients = append(recipients, member)
			pending++
			r.Actors.Go(ctx, "gather", func(ctx context.Context) {
				reply := r.sendToMember(ctx, member, message)
				select {
				case received <- reply:
				case <-ctx.Done():
				}
			})
		}
	}
	ask(own.Union())
	replies := map[int]Reply{}
	for ; pending > 0; pending-- {
		select {
		case reply := <-received:
			if reply != nil {
				replies[reply.Sender.MemberID] = *reply
				ask(reply.MemberSets.Union())
			}
		case <-grace.C:
			return replies
		case <-ctx.Done():
			return replies
		}
		if judge == nil {
			continue
		}
		previous := progress
		if progress = judge(replies); progress == quorumConclusive {
			break
		}
		if progress == quorumReached && previous != quorumReached {
			grace.Reset(quorumGracePeriod)
		}
	}
	return replies
}

// sendToMember brings a ballot to one member.
func (r *Replica) sendToMember(ctx context.Context, member config.Member, message Message) *Reply {
	self := r.Acceptor().Self
	if member.MemberID == self.MemberID && (member.DiskID == 0 || member.DiskID == self.DiskID) {
		return r.stepAcceptor(ctx, message)
	}
	addr, ok := r.Peers.Addr(member.MemberID)
	if !ok {
		addr = member.Addr
	}
	if addr == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	reply, ok := r.sendMessage(ctx, addr, message)
	if !ok {
		return nil
	}
	return reply.FromMember(member)
}

func (r *Replica) handle(ctx context.Context, msg any) {
	now := r.now()
	switch m := msg.(type) {
	case messageEvent:
		r.handleMessageEvent(ctx, m)
	case commandEvent:
		r.handleCommandEvent(ctx, m, now)
	case replyEvent:
		r.handleReady(ctx, r.proposer.HandleReply(m.reply, now))
	case savedEvent:
		r.handleSavedEvent(ctx, m)
	case bootstrapEvent:
		r.tryEstablish(ctx, m.replies)
	case joinEvent:
		r.completeJoin(ctx, m)
	case readIndexEvent:
		r.handleReadIndexEvent(ctx, m)
	case tickEvent:
		r.setHealth(r.Health().Ticked(now))
		r.tick(ctx, now)
	}
	if r.confirmation.pending && r.deliveredRevision >= r.confirmation.revision {
		r.confirmation.pending = false
		r.OnReadConfirmed(ctx, r.confirmation.startedAt)
	}
}

// handleMessageEvent puts a ballot to the own acceptor. What it only shows is what is on disk, and
// shown at once. Any other vote is sent when what it stands for is on disk.
func (r *Replica) handleMessageEvent(ctx context.Context, m messageEvent) {
	if m.message.Type == MsgReadIndex || m.message.Type == MsgRead {
		_, reply := r.acceptor.Step(m.message)
		m.reply <- &reply
		return
	}
	if m.message.Type == MsgCommit && r.acceptor.admits(m.message) {
		// Majorities hold it: whether the own disk takes it too changes nothing of that.
		r.deliver(ctx, m.message.State)
	}
	var reply Reply
	decide := func(acceptor Acceptor) (next Acceptor, ok bool) {
		next, reply = acceptor.Step(m.message)
		return next, true
	}
	done := func(_ context.Context, ok bool) {
		if ok {
			m.reply <- &reply
			return
		}
		m.reply <- nil
	}
	r.enqueueTransition(ctx, transition{decide: decide, done: done, deadline: r.now() + messageTimeout})
}

// handleCommandEvent hands an order to the proposer. A core that has no contact with a majority takes
// none: the order could only run out of time here, and whoever gave it may go to
// another core at once. Nor does the proposer raise epochs that would disturb the others
// once the contact is back. (DESIGN 6.3)
func (r *Replica) handleCommandEvent(ctx context.Context, m commandEvent, now time.Duration) {
	if r.acceptor.Phase != PhaseEstablished || !r.Health().Connected(now) {
		m.reply <- CommandResult{Outcome: OutcomeRejected}
		return
	}
	r.pendingCommands[m.command.ID] = m.reply
	r.handleReady(ctx, r.proposer.Enqueue(m.command, now))
}

// handleReadIndexEvent takes what a majority showed. A newest word that is still not passed on when
// it is seen again is copied if majorities hold it; if not, the core on duty has it
// finished, whoever holds it.
func (r *Replica) handleReadIndexEvent(ctx context.Context, m readIndexEvent) {
	r.setHealth(r.Health().QuorumContacted(m.startedAt.Sub(r.started)))
	position := m.highest.Position
	if !r.confirmation.pending || m.startedAt.After(r.confirmation.startedAt) && position.Revision <= r.confirmation.revision {
		r.confirmation = readConfirmation{startedAt: m.startedAt, revision: position.Revision, pending: true}
	}
	behind := position.Revision > r.deliveredRevision && position == r.observedPosition
	r.observedPosition = position
	r.uncommitted = behind && !m.committed
	if behind && m.committed {
		r.Actors.Go(ctx, "copy", func(ctx context.Context) { r.copyState(ctx, m.highest) })
	}
}

// copyState takes a word that majorities hold from one that holds it.
func (r *Replica) copyState(ctx context.Context, holder Reply) {
	self := r.Acceptor()
	if self.Position != holder.Position {
		ctx, cancel := context.WithTimeout(ctx, messageTimeout)
		defer cancel()
		reply := r.sendToMember(ctx, holder.sendingMember(), Message{Sender: self.Self, Type: MsgRead})
		if reply == nil || reply.Position != holder.Position {
			return // it has gone on; the next look shows it
		}
		self.State = reply.State
	}
	r.stepAcceptor(ctx, Message{Sender: self.Self, Type: MsgCommit, Term: holder.Position.Term, Position: holder.Position, State: self.State})
}

func (r *Replica) tick(ctx context.Context, now time.Duration) {
	r.updateHealth(ctx, now)
	r.probeDisk(ctx, now)
	if r.acceptor.Removed() && !r.saving {
		r.Log.Info("the slot was struck", "slot", r.acceptor.Self.MemberID)
		r.rejoin(ctx, now)
	}
	switch r.acceptor.Phase {
	case PhaseJoining:
		return // the core asks for a seat
	case PhaseEmpty, PhaseLost:
		if !r.joining && (now-r.lastJoinAttempt >= joinInterval || r.lastJoinAttempt == 0) {
			r.lastJoinAttempt, r.joining = now, true
			r.Actors.Go(ctx, "look-for-seat", func(ctx context.Context) {
				r.mailbox.Send(ctx, bootstrapEvent{r.collectFromPeers(ctx, Message{Sender: r.Acceptor().Self, Type: MsgRead})})
			})
		}
		return
	}
	r.proposer.FollowAcceptor(r.acceptor, now)
	if r.refreshDue(now) {
		r.lastJoinAttempt = now
		command := Command{ID: rand.Uint64(), Kind: CommandRefresh, Deadline: now + commandTimeout}
		r.pendingCommands[command.ID] = make(chan CommandResult, 1)
		r.handleReady(ctx, r.proposer.Enqueue(command, now))
	}
	r.handleReady(ctx, r.proposer.Tick(now))
}

// refreshDue tells whether this core has to make sure of the newest word: one that no
// majority is known to hold, here or with another, as after a cold start or when a
// proposer stopped half way. That is for the core on duty.
func (r *Replica) refreshDue(now time.Duration) bool {
	uncommitted := r.acceptor.Position.Revision > r.acceptor.Committed || len(r.acceptor.State.PreviousMembers) > 0 || r.uncommitted
	return uncommitted && len(r.pendingCommands) == 0 && now-r.lastJoinAttempt >= joinInterval && r.Health().Connected(now) && r.Peers.IsCoordinator()
}

// updateHealth tells of it when the core has become able or unable. Orders that were not
// proposed yet are given back then: the core that has the duty now can take them.
func (r *Replica) updateHealth(ctx context.Context, now time.Duration) {
	able, connected := r.Health().Healthy(now), r.Health().Connected(now)
	if !connected || !able && !r.Peers.IsCoordinator() {
		r.handleReady(ctx, r.proposer.RejectUnproposed())
	}
	if able == r.healthy {
		return
	}
	r.healthy = able
	r.Log.Info("ability", "able", able, "durable", r.Health().DiskHealthy(now), "connected", connected)
	if r.OnHealthChange != nil {
		r.OnHealthChange()
	}
}

func (r *Replica) publishAcceptor() {
	acceptor := r.acceptor
	r.published.Store(&acceptor)
}

// deliver passes a settled word on, if it is newer than what was.
func (r *Replica) deliver(ctx context.Context, state config.ControlState) {
	if state.Revision <= r.deliveredRevision {
		return
	}
	r.deliveredRevision = state.Revision
	r.OnCommit(ctx, state)
}

func (r *Replica) handleReady(ctx context.Context, readies []Ready) {
	for _, ready := range readies {
		if ready.Result != nil {
			if reply, ok := r.pendingCommands[ready.Result.ID]; ok {
				reply <- *ready.Result
				delete(r.pendingCommands, ready.Result.ID)
			}
		}
		for _, member := range ready.To {
			r.Actors.Go(ctx, "ballot", func(ctx context.Context) {
				if reply := r.sendToMember(ctx, member, *ready.Message); reply != nil {
					r.mailbox.Send(ctx, replyEvent{*reply})
				}
			})
		}
	}
}
