package config

// Contract is the service level that requests of some routes get.
//
//easyjson:json
type Contract struct {
	UnknownFields
	Name string `json:"name"`
	// LatencyTarget is the time within which responses should come (SLO).
	LatencyTarget Duration `json:"aim"`
	// Deadline is the time after which a response is of no use to the client any more.
	Deadline Duration `json:"expiry"`
	// Priority decides which requests go first under load; 1 is the highest, LowestPriority
	// the lowest.
	Priority int `json:"rank"`
}
