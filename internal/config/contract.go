package config

// Contract is the promise for one kind of request.
//
//easyjson:json
type Contract struct {
	UnknownFields
	Name string `json:"name"`
	// LatencyTarget is the time that answers should take.
	LatencyTarget Duration `json:"aim"`
	// Deadline is when an answer is worth nothing any more.
	Deadline Duration `json:"expiry"`
	// Priority says who goes first when there is not enough; 1 is the highest.
	Priority int `json:"rank"`
}
