package consensus

import (
	"context"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// localAcceptor is the interface of the acceptor in the same process.
type localAcceptor interface {
	// Acceptor returns the acceptor's state that is on disk.
	Acceptor() Acceptor
	// stepAcceptor passes a message to the acceptor. It returns nil if the acceptor did not
	// reply in time or if the resulting state could not be saved.
	stepAcceptor(ctx context.Context, message Message) *Reply
}

// memberClient sends messages to members.
type memberClient struct {
	actors *actor.System
	client *transport.Client
	peers  Peers
	local  localAcceptor
	deltas deltaCodec
}

// send sends a message to one member and returns its reply, or nil if the member did not
// answer.
func (c *memberClient) send(ctx context.Context, member config.Member, message Message) *Reply {
	self := c.local.Acceptor().Self
	if member.MemberID == self.MemberID && (member.DiskID == 0 || member.DiskID == self.DiskID) {
		return c.local.stepAcceptor(ctx, message)
	}
	addr, ok := c.peers.Addr(member.MemberID)
	if !ok {
		addr = member.Addr
	}
	if addr == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	reply, ok := c.call(ctx, addr, message)
	if !ok {
		return nil
	}
	return reply.FromMember(member)
}

// call sends a message to another replica. The control state is sent as a delta if the replica
// is known to have a base. It is sent in full if there is no known base or if the replica does
// not accept the delta.
func (c *memberClient) call(ctx context.Context, addr string, message Message) (reply Reply, ok bool) {
	if delta, encoded := c.deltas.encodeMessage(addr, message); encoded {
		response := c.client.Call(ctx, addr, transport.ControlTraffic, KindDeltaMessage, delta)
		if ok = response.Decode(&reply); ok {
			c.deltas.recordPeer(addr, reply.Position)
			return reply, true
		}
		if response.Delivery != transport.Answered {
			return reply, false
		}
		c.deltas.forgetPeer(addr)
	}
	if ok = c.client.Call(ctx, addr, transport.ControlTraffic, KindMessage, message).Decode(&reply); ok {
		c.deltas.recordPeer(addr, reply.Position)
	}
	return reply, ok
}

// forward sends a command to another replica for execution. The command is encoded as a delta
// to the local state if that makes it shorter. A refresh requests the whole resulting state,
// because LinearizableRead returns it; for other commands the revisions suffice.
func (c *memberClient) forward(ctx context.Context, addr string, command Command) transport.Response {
	command.RevisionsOnly = command.Kind != CommandRefresh
	own := c.local.Acceptor()
	if patch, encoded := c.deltas.encodeCommand(command, own.Position, own.State); encoded {
		response := c.client.Call(ctx, addr, transport.ControlTraffic, KindDeltaCommand, patch)
		if response.Delivery != transport.Answered || !response.HasErrorText(errMissingBase) && !response.UnknownKind() {
			return response // the command may have been executed
		}
	}
	return c.client.Call(ctx, addr, transport.ControlTraffic, KindCommand, command)
}
