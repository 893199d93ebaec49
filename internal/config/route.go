package config

// Route says which requests go to which service, under which contract. Of the routes that match a
// request one with a host counts first, then the longest prefix, then one with methods.
//
//easyjson:json
type Route struct {
	UnknownFields
	Name string `json:"name"`
	// Host is the host that requests must have; empty matches all.
	Host string `json:"host,omitempty"`
	// Prefix is what the path of requests must begin with; it begins with a slash itself.
	Prefix string `json:"prefix"`
	// Methods are the HTTP methods of the requests; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// Service gets the requests, or Split divides them among several services by weight.
	Service string            `json:"service,omitempty"`
	Split   []WeightedService `json:"split,omitempty"`
	// Contract is the name of the contract that the requests run under.
	Contract string `json:"contract"`
	// Idempotent says that a request may run more than once without harm.
	Idempotent bool `json:"repeatable,omitempty"`
	// MaxAttempts is how many attempts a request may have; 0 leaves it to the sidecar.
	MaxAttempts int `json:"legs,omitempty"`
}

// Services lists the names of the services that the route leads to.
func (r *Route) Services() (out []string) {
	if r.Service != "" {
		out = append(out, r.Service)
	}
	for _, s := range r.Split {
		out = append(out, s.Service)
	}
	return out
}
