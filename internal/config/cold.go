package config

// Cold says that a backend bears less for a while after its start.
//
//easyjson:json
type Cold struct {
	Stray
	// For is how long it is cold.
	For Duration `json:"for"`
	// Rate is how many requests a second it bears meanwhile.
	Rate float64 `json:"rate"`
}
