package config

// SlowStart says that a backend bears less for a while after its start.
//
//easyjson:json
type SlowStart struct {
	UnknownFields
	// Period is how long it is cold.
	Period Duration `json:"for"`
	// RequestsPerSecond is how many requests a second it bears meanwhile.
	RequestsPerSecond float64 `json:"rate"`
}
