package config

// Contract is a service level that routes refer to by name.
//
//easyjson:json
type Contract struct {
	UnknownFields
	Name string `json:"name"`
	// LatencyTarget is the time within which a response should arrive (SLO).
	LatencyTarget Duration `json:"aim"`
	// Deadline is the time after which a response is useless to the client.
	Deadline Duration `json:"expiry"`
	// Priority decides which requests are served first under load. 1 is the highest priority,
	// LowestPriority the lowest.
	Priority int `json:"rank"`
}
