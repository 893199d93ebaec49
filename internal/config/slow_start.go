package config

// SlowStart says that a backend bears fewer requests for a while after its start.
//
//easyjson:json
type SlowStart struct {
	UnknownFields
	// Period is how long it warms up.
	Period Duration `json:"for"`
	// RequestsPerSecond is how many requests it bears meanwhile.
	RequestsPerSecond float64 `json:"rate"`
}
