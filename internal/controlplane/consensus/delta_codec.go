package consensus

import (
	"sync"

	"curlewwalk/internal/config"
)

// maxFingerprints bounds how many positions the codec remembers.
const maxFingerprints = 32 // (ours)

// deltaMessage is a message without its control state, which is a patch to a base.
type deltaMessage struct {
	Message Message      `msgpack:"b"`
	Patch   config.Patch `msgpack:"p"`
}

// deltaCodec encodes what holds a control state as a difference from one that the other side
// has. It remembers recent states, and which of them the other replicas said to hold. It only
// saves bytes: what it has wrong is found out by the fingerprint of the base, and sent as a
// whole. The zero value is ready; it is safe for concurrent use.
type deltaCodec struct {
	mu            sync.Mutex
	versions      config.VersionHistory
	fingerprints  map[Position]config.Fingerprint
	peerPositions map[string]Position // by address
}

// recordPeer remembers which state another replica holds.
func (c *deltaCodec) recordPeer(addr string, position Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peerPositions == nil {
		c.peerPositions = map[string]Position{}
	}
	c.peerPositions[addr] = position
}

// forgetPeer has the next state sent to a replica as a whole.
func (c *deltaCodec) forgetPeer(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peerPositions, addr)
}

// add remembers a state under its position.
func (c *deltaCodec) add(position Position, state config.ControlState) (version config.Version, ok bool) {
	version, err := config.NewVersion(state)
	if err != nil {
		return version, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions.Add(version)
	if c.fingerprints == nil || len(c.fingerprints) >= maxFingerprints {
		c.fingerprints = map[Position]config.Fingerprint{}
	}
	c.fingerprints[position] = version.Fingerprint
	return version, true
}

// encodeMessage encodes a message for a replica that is known to have a base; false if it has
// none, or if that does not make it shorter.
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
	patch, shorter := c.versions.PatchFrom(target, base)
	message.State = config.ControlState{}
	return deltaMessage{Message: message, Patch: patch}, shorter
}

// encodeCommand encodes a command as a difference from the local state.
func (c *deltaCodec) encodeCommand(command Command, position Position, state config.ControlState) (config.Patch, bool) {
	target, err := config.NewVersion(command)
	base, ok := c.add(position, state)
	if err != nil || !ok {
		return config.Patch{}, false
	}
	return target.DiffFrom(base)
}

// apply decodes a patch to one of the recent states, or to the local acceptor's.
func (c *deltaCodec) apply(patch config.Patch, own Acceptor) (config.Version, bool) {
	if version, ok := c.applyKnown(patch); ok {
		return version, true
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
