package config

// Contract is the promise for one kind of request.
//
//easyjson:json
type Contract struct {
	Stray
	Name string `json:"name"`
	// Aim is the time that answers should take.
	Aim Duration `json:"aim"`
	// Deadline is when an answer is worth nothing any more.
	Deadline Duration `json:"expiry"`
	// Rank says who goes first when there is not enough; 1 is the highest.
	Rank int `json:"rank"`
}
