package consensus

import (
	"context"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// localAcceptor is the acceptor of the same process.
type localAcceptor interface {
	// Acceptor is the acceptor as it is on disk.
	Acceptor() Acceptor
	// stepAcceptor has it take a message; nil if it could not in time.
	stepAcceptor(ctx context.Context, message Message) *Reply
}

// memberClient brings messages to members.
type memberClient struct {
	actors *actor.System
	client *transport.Client
	peers  Peers
	local  localAcceptor
	deltas deltaCodec
}

// send brings a message to one member; nil if that did not answer.
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

// call brings a message to another replica: its control state as a delta if the other one is
// known to have a base for it, and as a whole if it is not, or turns out not to have it.
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

// forward has another replica carry a command out, which it gets as a delta to the local state
// if that helps.
func (c *memberClient) forward(ctx context.Context, addr string, command Command) transport.Response {
	command.RevisionsOnly = command.Kind != CommandRefresh
	own := c.local.Acceptor()
	if patch, encoded := c.deltas.encodeCommand(command, own.Position, own.State); encoded {
		response := c.client.Call(ctx, addr, transport.ControlTraffic, KindDeltaCommand, patch)
		if response.Delivery != transport.Answered || !response.FaultIs(errMissingBase) && !response.UnknownKind() {
			return response // it may have been carried out
		}
	}
	return c.client.Call(ctx, addr, transport.ControlTraffic, KindCommand, command)
}
