package consensus

import (
	"context"
	"errors"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// The kinds of request on the wire. The delta kinds carry the control state, or the command, as
// a difference from a state that the receiver has. A replica of an earlier version answers that
// the kind is unknown, and a replica without the base answers errMissingBase. In both cases the
// sender sends the whole content immediately. Package controlplane handles KindJoin, whose
// content is a JoinRequest. (DESIGN 8.3)
const (
	KindMessage      = "ballot"
	KindCommand      = "order"
	KindJoin         = "seat"
	KindDeltaMessage = "patched-ballot"
	KindDeltaCommand = "patched-order"
)

// The errors in responses to requests. Their texts are part of the protocol.
var (
	errMissingBase = errors.New("the base of the difference is not here")
	errNotCommand  = errors.New("not an order")
	errDisk        = errors.New("the disk does not take it")
	errNotMessage  = errors.New("not a ballot")
)

// Handlers returns the replica's request handlers by kind.
func (r *Replica) Handlers() map[string]transport.Handler {
	return map[string]transport.Handler{
		KindMessage: r.handleMessage, KindCommand: r.handleCommand,
		KindDeltaMessage: r.handleDeltaMessage, KindDeltaCommand: r.handleDeltaCommand,
	}
}

// handleMessage processes a message to the local acceptor.
func (r *Replica) handleMessage(ctx context.Context, request transport.Request) (any, error) {
	var message Message
	if !request.Decode(&message) {
		return nil, errNotMessage
	}
	if reply := r.stepAcceptor(ctx, message); reply != nil {
		return reply, nil
	}
	return nil, errDisk
}

// handleDeltaMessage processes a message whose control state is a delta.
func (r *Replica) handleDeltaMessage(ctx context.Context, request transport.Request) (any, error) {
	var delta deltaMessage
	if !request.Decode(&delta) {
		return nil, errNotMessage
	}
	version, ok := r.members.deltas.apply(delta.Patch, r.Acceptor())
	if !ok || version.Decode(&delta.Message.State) != nil {
		return nil, errMissingBase
	}
	if _, ok := r.members.deltas.add(delta.Message.Position, delta.Message.State); !ok {
		return nil, errMissingBase // makes the sender send the whole state
	}
	if reply := r.stepAcceptor(ctx, delta.Message); reply != nil {
		reply.MemberSets = MemberSets{} // the sender of a proposal or commit knows the member sets
		return reply, nil
	}
	return nil, errDisk
}

// handleCommand executes a command that another replica has forwarded.
func (r *Replica) handleCommand(ctx context.Context, request transport.Request) (any, error) {
	var command Command
	if !request.Decode(&command) {
		return nil, errNotCommand
	}
	return r.Submit(ctx, command).forSender(command), nil
}

// handleDeltaCommand executes a forwarded command that is encoded as a delta.
func (r *Replica) handleDeltaCommand(ctx context.Context, request transport.Request) (any, error) {
	var patch config.Patch
	if !request.Decode(&patch) {
		return nil, errNotCommand
	}
	version, ok := r.members.deltas.apply(patch, r.Acceptor())
	if !ok {
		return nil, errMissingBase
	}
	var command Command
	if version.Decode(&command) != nil {
		return nil, errNotCommand
	}
	return r.Submit(ctx, command).forSender(command), nil
}

// stepAcceptor passes a message to the local acceptor and returns its reply. It returns nil if
// the acceptor did not reply in time or if the resulting state could not be saved.
func (r *Replica) stepAcceptor(ctx context.Context, message Message) *Reply {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	reply, _ := actor.Ask(ctx, r.mailbox, func(reply chan<- *Reply) any { return messageEvent{message, reply} })
	return reply
}

// handleMessageEvent passes a message to the local acceptor. A read returns the state on disk
// and is answered immediately. Any other reply is sent once the state that it depends on is on
// disk.
func (r *Replica) handleMessageEvent(ctx context.Context, e messageEvent) {
	if e.message.Type == MsgReadIndex || e.message.Type == MsgRead {
		_, reply := r.acceptor.Step(e.message)
		e.reply <- &reply
		return
	}
	if e.message.Type == MsgCommit && r.acceptor.admits(e.message) {
		// The state is committed, whether or not the local write succeeds.
		r.deliver(ctx, e.message.State)
	}
	var reply Reply
	decide := func(acceptor Acceptor) (next Acceptor, ok bool) {
		next, reply = acceptor.Step(e.message)
		return next, true
	}
	done := func(_ context.Context, ok bool) {
		if ok {
			e.reply <- &reply
			return
		}
		e.reply <- nil
	}
	r.enqueueTransition(ctx, transition{decide: decide, done: done, deadline: r.now() + messageTimeout})
}
