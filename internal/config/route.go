package config

// Route is one route: which requests go to which service, under which contract.
//
//easyjson:json
type Route struct {
	Stray
	Name    string   `json:"name"`
	Host    string   `json:"host,omitempty"`
	Prefix  string   `json:"prefix"`
	Methods []string `json:"methods,omitempty"`
	// Service takes the requests; or Split divides them among several.
	Service string    `json:"service,omitempty"`
	Split   []Portion `json:"split,omitempty"`
	// Contract names the contract that the way's requests run under.
	Contract string `json:"contract"`
	// Repeatable says that running a request twice does no harm.
	Repeatable bool `json:"repeatable,omitempty"`
	// Attempts is how many attempts a request may have at most; 0 leaves it to us.
	Attempts int `json:"legs,omitempty"`
}

// Services lists the services that the way leads to.
func (w *Route) Services() (out []string) {
	if w.Service != "" {
		out = append(out, w.Service)
	}
	for _, p := range w.Split {
		out = append(out, p.Service)
	}
	return out
}
