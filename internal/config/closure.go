package config

// ZoneClosure is the evacuation of a zone by an active maintenance window.
type ZoneClosure struct {
	Zone string `msgpack:"l" json:"locality"`
	// Window is the name of the maintenance window.
	Window string `msgpack:"w" json:"window"`
	// Waived is set if the operator revoked the evacuation during the window.
	Waived bool `msgpack:"x,omitempty" json:"waived,omitempty"`
}
