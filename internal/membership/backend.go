package membership

// Backend is one backend instance, as its sidecar announces it.
type Backend struct {
	Instance string `msgpack:"i" json:"instance"`
	Service  string `msgpack:"s" json:"service"`
	// Address is the host and port on which the instance accepts requests.
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"l" json:"locality"`
	// Capacity is the number of requests that the instance can process concurrently.
	Capacity int `msgpack:"c" json:"capacity"`
	// CapacityShare is the fraction of Capacity that is available now, above 0 and at most 1. It is
	// below 1 while the backend warms up.
	CapacityShare float64 `msgpack:"w" json:"share"`
	// Draining is set once the instance has announced its shutdown.
	Draining bool `msgpack:"x" json:"leaving"`
}
