package membership

// Backend is one backend instance, as the sidecar beside it announces it.
type Backend struct {
	Instance string `msgpack:"i" json:"instance"`
	Service  string `msgpack:"s" json:"service"`
	// Address is the host and port on which it takes requests.
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"l" json:"locality"`
	// Capacity is how many requests it runs at the same time.
	Capacity int `msgpack:"c" json:"capacity"`
	// CapacityShare is the part of Capacity that it can bear now, above 0 and at most 1; it
	// is below 1 while the backend warms up.
	CapacityShare float64 `msgpack:"w" json:"share"`
	// Draining is set once the instance has announced that it shuts down.
	Draining bool `msgpack:"x" json:"leaving"`
}
