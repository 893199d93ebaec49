package endpoints

import "time"

// AdmissionRequest names the backend that an attempt is for.
type AdmissionRequest struct {
	Service, Instance string
}

// Rejection says why an attempt is not admitted; Admitted if it is. It goes out as the
// reason of a response.
type Rejection string

// The rejections. All but Canceled and DeadlineExpired precede the first byte to the backend.
const (
	Admitted         Rejection = ""
	UnknownBackend   Rejection = "no-such-backend"
	HeartbeatExpired Rejection = "backend-silent"
	BackendDraining  Rejection = "backend-leaving"
	ZoneDrained      Rejection = "locality-emptied"
	BackendFull      Rejection = "backend-full"
	WrongIncarnation Rejection = "wrong-incarnation"
	DeadlineExpired  Rejection = "expired"
	NodeDraining     Rejection = "node-draining"
	LeaseExpired     Rejection = "claim-lapsed"
	// Canceled is that of an attempt whose sender no longer wants it. It also ends a
	// running attempt, if that may be stopped.
	Canceled Rejection = "recalled"
)

// Admit returns the endpoint that an attempt is for, and whether it may go there at this
// moment. zoneDrained reports whether a zone is to get no requests. (DESIGN 9.2)
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

// IsActive reports whether an instance still has an address and is not draining.
func (r Registry) IsActive(instance, address string) bool {
	endpoint, ok := r.endpoints[instance]
	return ok && endpoint.Address == address && !endpoint.Draining
}
