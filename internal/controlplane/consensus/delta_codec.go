package consensus

import (
	"sync"

	"curlewwalk/internal/config"
)

// maxFingerprints bounds the number of positions whose fingerprints the codec stores. When the
// limit is reached, the codec discards all of them.
const maxFingerprints = 32

// deltaMessage is a message whose control state is replaced by a patch to a base state.
type deltaMessage struct {
	Message Message      `msgpack:"b"`
	Patch   config.Patch `msgpack:"p"`
}

// deltaCodec encodes control states and commands as patches to a state that the receiver has.
// It stores recent states and the positions that the other replicas reported. It only saves
// bandwidth: a receiver without the assumed base detects that by the fingerprint of the base,
// and is then sent the whole content. The zero value is ready for use, and the codec is safe
// for concurrent use.
type deltaCodec struct {
	mu            sync.Mutex
	versions      config.VersionHistory
	fingerprints  map[Position]config.Fingerprint
	peerPositions map[string]Position // by address
}

// recordPeer records the position of the state that another replica holds.
func (c *deltaCodec) recordPeer(addr string, position Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peerPositions == nil {
		c.peerPositions = map[string]Position{}
	}
	c.peerPositions[addr] = position
}

// forgetPeer discards the recorded position of a replica, so that the next state is sent to it
// in full.
func (c *deltaCodec) forgetPeer(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peerPositions, addr)
}

// add stores a state and its position.
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

// encodeMessage encodes a message as a patch for a replica that is known to have a base. It
// returns false if the replica has none or if the patch is not shorter.
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

// encodeCommand encodes a command as a patch to the local state.
func (c *deltaCodec) encodeCommand(command Command, position Position, state config.ControlState) (config.Patch, bool) {
	target, err := config.NewVersion(command)
	base, ok := c.add(position, state)
	if err != nil || !ok {
		return config.Patch{}, false
	}
	return target.DiffFrom(base)
}

// apply applies a patch to one of the stored states or to the state of the local acceptor.
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
