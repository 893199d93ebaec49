package consensus

import (
	"context"
	"sync"

	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// What holds a whole word is told as a difference from a word that the other one holds,
// under kinds of their own: who does not know them says so, as does who lacks the base,
// and is told the whole at once. (DESIGN 8.3)
const (
	KindDeltaMessage = "patched-ballot"
	KindDeltaCommand = "patched-order"
)

const (
	faultBase    = "the base of the difference is not here"
	faultCommand = "not an order"
	faultDisk    = "the disk does not take it"
	faultMessage = "not a ballot"
)

// deltaMessage is a ballot without its word, and the word as a difference.
type deltaMessage struct {
	Message Message      `msgpack:"b"`
	Patch   config.Patch `msgpack:"p"`
}

// deltaCodec remembers recent words, and which of them the others said that they hold. It
// only saves bytes: what it has wrong is found out by digest, and told whole.
type deltaCodec struct {
	mu            sync.Mutex
	versions      config.VersionHistory
	fingerprints  map[Position]config.Fingerprint
	peerPositions map[string]Position // by address
}

// maxFingerprints bounds how many marks are remembered. (ours)
const maxFingerprints = 32

// recordPeer remembers which word another core holds.
func (c *deltaCodec) recordPeer(addr string, position Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peerPositions == nil {
		c.peerPositions = map[string]Position{}
	}
	c.peerPositions[addr] = position
}

// forgetPeer has the next word told whole.
func (c *deltaCodec) forgetPeer(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peerPositions, addr)
}

// add remembers a word under its mark.
func (c *deltaCodec) add(position Position, state config.ControlState) (v config.Version, ok bool) {
	v, err := config.NewVersion(state)
	if err != nil {
		return v, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions.Add(v)
	if c.fingerprints == nil || len(c.fingerprints) >= maxFingerprints {
		c.fingerprints = map[Position]config.Fingerprint{}
	}
	c.fingerprints[position] = v.Fingerprint
	return v, true
}

// encodeMessage tells a ballot by a difference, if the other core is known to hold a base.
func (c *deltaCodec) encodeMessage(addr string, message Message) (deltaMessage, bool) {
	if message.Type != MsgAccept && message.Type != MsgCommit {
		return deltaMessage{}, false
	}
	target, ok := c.add(message.Position, message.State)
	if !ok {
		return deltaMessage{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	base, known := c.fingerprints[c.peerPositions[addr]]
	if !known {
		return deltaMessage{}, false
	}
	patch, short := c.versions.PatchFrom(target, base)
	message.State = config.ControlState{}
	return deltaMessage{Message: message, Patch: patch}, short
}

// encodeCommand tells an order by its difference from a word that is held here.
func (c *deltaCodec) encodeCommand(command Command, position Position, base config.ControlState) (config.Patch, bool) {
	target, err := config.NewVersion(command)
	baseVersion, ok := c.add(position, base)
	if err != nil || !ok {
		return config.Patch{}, false
	}
	return target.DiffFrom(baseVersion)
}

// apply makes what a patch tells, of the words of late or of the one held now.
func (c *deltaCodec) apply(patch config.Patch, own Acceptor) (config.Version, bool) {
	if v, ok := c.applyKnown(patch); ok {
		return v, true
	}
	if _, ok := c.add(own.Position, own.State); !ok {
		return config.Version{}, false
	}
	return c.applyKnown(patch)
}

func (c *deltaCodec) applyKnown(patch config.Patch) (config.Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.Apply(patch)
}

// sendMessage brings a ballot to another core: by a difference if it is known to hold a word to
// make one from, and whole if that is not so or turns out not to be so.
func (r *Replica) sendMessage(ctx context.Context, addr string, message Message) (reply Reply, ok bool) {
	if delta, can := r.deltas.encodeMessage(addr, message); can {
		response := r.Client.Call(ctx, addr, transport.ControlTraffic, KindDeltaMessage, delta)
		if ok = response.Decode(&reply); ok {
			r.deltas.recordPeer(addr, reply.Position)
			return reply, true
		}
		if response.Delivery != transport.Answered {
			return reply, false
		}
		r.deltas.forgetPeer(addr)
	}
	if ok = r.Client.Call(ctx, addr, transport.ControlTraffic, KindMessage, message).Decode(&reply); ok {
		r.deltas.recordPeer(addr, reply.Position)
	}
	return reply, ok
}

// handleDeltaMessage handles a ballot whose word is told as a difference.
func (r *Replica) handleDeltaMessage(ctx context.Context, request transport.Request) (any, string) {
	var delta deltaMessage
	if !request.Decode(&delta) {
		return nil, faultMessage
	}
	version, ok := r.deltas.apply(delta.Patch, r.Acceptor())
	if !ok || version.Decode(&delta.Message.State) != nil {
		return nil, faultBase
	}
	if _, ok := r.deltas.add(delta.Message.Position, delta.Message.State); !ok {
		return nil, faultBase
	}
	if reply := r.stepAcceptor(ctx, delta.Message); reply != nil {
		reply.MemberSets = MemberSets{} // whoever proposes or settles knows them
		return reply, ""
	}
	return nil, faultDisk
}

// Forward has another core carry an order out.
func (r *Replica) Forward(ctx context.Context, addr string, command Command) transport.Response {
	command.RevisionsOnly = command.Kind != CommandRefresh
	own := r.Acceptor()
	if patch, can := r.deltas.encodeCommand(command, own.Position, own.State); can {
		response := r.Client.Call(ctx, addr, transport.ControlTraffic, KindDeltaCommand, patch)
		if response.Delivery != transport.Answered || response.Fault != faultBase && !response.UnknownKind() {
			return response // it may have been carried out
		}
	}
	return r.Client.Call(ctx, addr, transport.ControlTraffic, KindCommand, command)
}

// handleDeltaCommand handles an order that is told as a difference.
func (r *Replica) handleDeltaCommand(ctx context.Context, request transport.Request) (any, string) {
	var patch config.Patch
	if !request.Decode(&patch) {
		return nil, faultCommand
	}
	version, ok := r.deltas.apply(patch, r.Acceptor())
	if !ok {
		return nil, faultBase
	}
	var command Command
	if version.Decode(&command) != nil {
		return nil, faultCommand
	}
	return r.Submit(ctx, command).forSender(command), ""
}

// Handlers are what a keeper answers, by kind.
func (r *Replica) Handlers() map[string]transport.Handler {
	return map[string]transport.Handler{
		KindMessage: r.HandleMessage, KindCommand: r.HandleCommand,
		KindDeltaMessage: r.handleDeltaMessage, KindDeltaCommand: r.handleDeltaCommand,
	}
}
