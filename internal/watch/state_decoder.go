package watch

import "curlewwalk/internal/config"

// StateDecoder stores the control state that a watcher last received, so that the next one can be
// sent as a patch of it. The zero value stores no control state. A StateDecoder is not safe for
// concurrent use. (DESIGN 8.3)
type StateDecoder struct{ version config.Version }

// Prepare returns req with the fingerprint of the control state that the watcher has.
func (d *StateDecoder) Prepare(req Request) Request {
	req.StateFingerprint = nil
	if d.version.Size() > 0 {
		req.StateFingerprint = d.version.Fingerprint[:]
	}
	return req
}

// Decode replaces each patch in the updates by the control state that results from it. It returns
// false if a patch cannot be applied. The caller must then discard all of the updates and send the
// same request again, after another Prepare, to receive them without patches.
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
