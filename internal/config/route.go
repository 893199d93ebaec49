package config

// Route is one route: which requests go to which service, under which contract.
//
//easyjson:json
type Route struct {
	UnknownFields
	Name    string   `json:"name"`
	Host    string   `json:"host,omitempty"`
	Prefix  string   `json:"prefix"`
	Methods []string `json:"methods,omitempty"`
	// Service takes the requests; or Split divides them among several.
	Service string            `json:"service,omitempty"`
	Split   []WeightedService `json:"split,omitempty"`
	// Contract names the contract that the way's requests run under.
	Contract string `json:"contract"`
	// Idempotent says that running a request twice does no harm.
	Idempotent bool `json:"repeatable,omitempty"`
	// MaxAttempts is how many attempts a request may have at most; 0 leaves it to us.
	MaxAttempts int `json:"legs,omitempty"`
}

// Services lists the services that the way leads to.
func (route *Route) Services() (out []string) {
	if route.Service != "" {
		out = append(out, route.Service)
	}
	for _, p := range route.Split {
		out = append(out, p.Service)
	}
	return out
}
