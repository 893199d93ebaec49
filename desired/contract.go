package desired

// Contract is the promise for one kind of inquiry.
//
//easyjson:json
type Contract struct {
	Stray
	Name string `json:"name"`
	// Aim is the time that answers should take.
	Aim Duration `json:"aim"`
	// Expiry is when an answer is worth nothing any more.
	Expiry Duration `json:"expiry"`
	// Rank says who goes first when there is not enough; 1 is the highest.
	Rank int `json:"rank"`
}
