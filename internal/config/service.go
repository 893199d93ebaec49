package config

// Service says what holds for a service, whichever way leads to it.
//
//easyjson:json
type Service struct {
	UnknownFields
	Name string `json:"name"`
	// MaxConnections bounds those open to one backend; 0 is no bound.
	MaxConnections int `json:"connections,omitempty"`
	// SlowStart says what its backends bear at their start, if that is less.
	SlowStart *SlowStart `json:"cold,omitempty"`
}
