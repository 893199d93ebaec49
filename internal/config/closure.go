package config

// ZoneClosure notes that a maintenance window, while it goes on, has a zone
// emptied; or, waived, that an operator took it back meanwhile.
type ZoneClosure struct {
	Zone   string `msgpack:"l" json:"locality"`
	Window string `msgpack:"w" json:"window"`
	Waived bool   `msgpack:"x,omitempty" json:"waived,omitempty"`
}
