package watch

import "curlewwalk/internal/config"

// StateDecoder is the configuration that a follower was told last, to be told the next one by
// its difference. It is a decision value that one thread owns. (DESIGN 8.3)
type StateDecoder struct{ version config.Version }

// Prepare completes a question with what the follower holds.
func (decoder *StateDecoder) Prepare(req Request) Request {
	req.StateFingerprint = nil
	if decoder.version.Size() > 0 {
		req.StateFingerprint = decoder.version.Fingerprint[:]
	}
	return req
}

// Decode makes whole what was told by difference. False if that can't be done: then nothing
// of the news may be used, and the same is asked for again, whole.
func (decoder *StateDecoder) Decode(n *Updates) bool {
	for i := range n.Events {
		if !decoder.decodeEvent(&n.Events[i]) {
			decoder.version = config.Version{}
			return false
		}
	}
	return true
}

func (decoder *StateDecoder) decodeEvent(it *Event) bool {
	if it.State != nil {
		decoder.version, _ = config.NewVersion(*it.State)
		return true
	}
	if it.StatePatch == nil {
		return true
	}
	next, ok := decoder.version.Apply(*it.StatePatch)
	var state config.ControlState
	if !ok || next.Decode(&state) != nil {
		return false
	}
	decoder.version = next
	*it = Event{State: &state}
	return true
}
