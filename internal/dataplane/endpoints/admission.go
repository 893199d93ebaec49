package endpoints

import "time"

// AdmissionRequest identifies the backend of an attempt.
type AdmissionRequest struct {
	Service, Instance string
}

// Rejection is the reason why an attempt is not admitted, or Admitted. It is sent as the reason of
// a response.
type Rejection string

// The rejections. All except Canceled and DeadlineExpired occur before the first byte is sent to
// the backend.
const (
	Admitted         Rejection = ""
	UnknownBackend   Rejection = "no-such-backend"
	HeartbeatExpired Rejection = "backend-silent"
	BackendDraining  Rejection = "backend-leaving"
	ZoneDrained      Rejection = "locality-emptied"
	BackendFull      Rejection = "backend-full"
	// WrongIncarnation rejects an attempt that is meant for another run of this sidecar's process.
	WrongIncarnation Rejection = "wrong-incarnation"
	DeadlineExpired  Rejection = "expired"
	// NodeDraining rejects an attempt because this sidecar is stopping.
	NodeDraining Rejection = "node-draining"
	LeaseExpired Rejection = "claim-lapsed"
	// Canceled rejects an attempt that its sender has canceled. It also ends a running attempt if
	// that attempt may be stopped.
	Canceled Rejection = "recalled"
)

// Admit returns the endpoint of an attempt, and whether the attempt may be sent to it now.
// zoneDrained reports whether a zone receives no requests. (DESIGN 9.2)
func (r Registry) Admit(request AdmissionRequest, zoneDrained func(zone string) bool, now time.Time) (Endpoint, Rejection) {
	endpoint, ok := r.endpoints[request.Instance]
	switch {
	case !ok || endpoint.Service != request.Service:
		return endpoint, UnknownBackend
	case now.Sub(endpoint.LastHeartbeat) > r.Heartbeats.Freshness():
		return endpoint, HeartbeatExpired
	case endpoint.Draining:
		return endpoint, BackendDraining
	case zoneDrained(endpoint.Zone):
		return endpoint, ZoneDrained
	}
	return endpoint, Admitted
}

// IsActive reports whether an instance still has the given address and is not draining.
func (r Registry) IsActive(instance, address string) bool {
	endpoint, ok := r.endpoints[instance]
	return ok && endpoint.Address == address && !endpoint.Draining
}
