package config

// ZoneClosure records that a maintenance window has begun and not yet ended. The closure
// evacuates its zone unless it is waived. A waived closure stays recorded until the window ends, so
// that the window is not begun again.
type ZoneClosure struct {
	Zone string `msgpack:"l" json:"locality"`
	// Window is the ID of the maintenance window (maintenance.Occurrence.ID).
	Window string `msgpack:"w" json:"window"`
	// Waived is set if the operator revoked the evacuation during the window.
	Waived bool `msgpack:"x,omitempty" json:"waived,omitempty"`
}
