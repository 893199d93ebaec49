package endpoints

import "time"

// AdmissionRequest is what an attempt wants of the gate.
type AdmissionRequest struct {
	Service, Instance string
}

// Rejection says why the gate is shut; empty means open.
type Rejection string

// The refusals. But for Recalled, all of them come before a byte was written.
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
	// Canceled is of an attempt that its sender wants no more, which ends one that was begun
	// as well, if that may be stopped.
	Canceled Rejection = "recalled"
)

// Admit asks whether an attempt may go to its backend at this moment. (DESIGN 9.2)
func (r Registry) Admit(request AdmissionRequest, emptied func(zone string) bool, now time.Time) (Endpoint, Rejection) {
	endpoint, ok := r.endpoints[request.Instance]
	switch {
	case !ok || endpoint.Service != request.Service:
		return endpoint, UnknownBackend
	case now.Sub(endpoint.LastHeartbeat) > r.Heartbeats.Freshness():
		return endpoint, HeartbeatExpired
	case endpoint.Draining:
		return endpoint, BackendDraining
	case emptied(endpoint.Zone):
		return endpoint, ZoneDrained
	}
	return endpoint, Admitted
}

// IsActive tells whether an instance still has an address and is not leaving.
func (r Registry) IsActive(instance, address string) bool {
	endpoint, ok := r.endpoints[instance]
	return ok && endpoint.Address == address && !endpoint.Draining
}
