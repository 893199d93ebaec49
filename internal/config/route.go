package config

// Route maps matching requests to a service and a contract. If several routes match a request, a
// route with a host takes precedence, then the route with the longest prefix, then a route with
// methods.
//
//easyjson:json
type Route struct {
	UnknownFields
	Name string `json:"name"`
	// Host is the host of matching requests. It is compared without regard to case, and a port in
	// the request is ignored. An empty host matches all.
	Host string `json:"host,omitempty"`
	// Prefix is the path prefix of matching requests. It begins with a slash. It is compared
	// byte by byte, so /a matches /ab too.
	Prefix string `json:"prefix"`
	// Methods lists the HTTP methods of matching requests. An empty list matches all.
	Methods []string `json:"methods,omitempty"`
	// Service receives all requests. Alternatively, Split distributes them to several services by
	// weight.
	Service string            `json:"service,omitempty"`
	Split   []WeightedService `json:"split,omitempty"`
	// Contract is the name of the contract that applies to the requests.
	Contract string `json:"contract"`
	// Idempotent is set if a request may safely be executed more than once. Otherwise, the sidecar
	// makes no further attempt after one that may have run.
	Idempotent bool `json:"repeatable,omitempty"`
	// MaxAttempts bounds the attempts of a request that reach a backend. Zero selects the default
	// of the sidecar. The sidecar has a separate bound on all attempts, including those that reach
	// no backend.
	MaxAttempts int `json:"legs,omitempty"`
}

// Services returns the names of the services that the route leads to.
func (r *Route) Services() (out []string) {
	if r.Service != "" {
		out = append(out, r.Service)
	}
	for _, s := range r.Split {
		out = append(out, s.Service)
	}
	return out
}
