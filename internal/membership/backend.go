// Package membership is what the nodes know of one another: seats of cores, nodes
// of the data plane with their backends, and the view for traffic. (DESIGN 7)
package membership

// Backend is one backend instance as its sidecar tells of it.
type Backend struct {
	Instance      string  `msgpack:"i" json:"instance"`
	Service       string  `msgpack:"s" json:"service"`
	Address       string  `msgpack:"a" json:"address"`
	Zone          string  `msgpack:"l" json:"locality"`
	Capacity      int     `msgpack:"c" json:"capacity"`
	CapacityShare float64 `msgpack:"w" json:"share"`
	Draining      bool    `msgpack:"x" json:"leaving"`
}
