package watch

import "curlewwalk/internal/config"

// StateDecoder keeps the control state that a watcher received last, so that the next one can be
// sent as a patch of it. The zero value has none. It is not safe for concurrent use.
// (DESIGN 8.3)
type StateDecoder struct{ version config.Version }

// Prepare returns a request with the fingerprint of the control state that the watcher has.
func (d *StateDecoder) Prepare(req Request) Request {
	req.StateFingerprint = nil
	if d.version.Size() > 0 {
		req.StateFingerprint = d.version.Fingerprint[:]
	}
	return req
}

// Decode replaces patches among the updates by the control states that they make. It returns false
// if one can't be applied: then nothing of the updates may be used, and the same request, prepared
// again, brings them without patches.
func (d *StateDecoder) Decode(updates *Updates) bool {
	for i := range updates.Events {
		if !d.decodeEvent(&updates.Events[i]) {
			d.version = config.Version{}
			return false
		}
	}
	return true
}

func (d *StateDecoder) decodeEvent(event *Event) bool {
	if event.State != nil {
		d.version, _ = config.NewVersion(*event.State)
		return true
	}
	if event.StatePatch == nil {
		return true
	}
	next, ok := d.version.Apply(*event.StatePatch)
	if !ok {
		return false
	}
	var state config.ControlState
	if next.Decode(&state) != nil {
		return false
	}
	d.version = next
	*event = Event{State: &state}
	return true
}
