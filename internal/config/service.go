package config

// Service says what holds for a service, whichever way leads to it.
//
//easyjson:json
type Service struct {
	Stray
	Name string `json:"name"`
	// Connections bounds those open to one backend; 0 is no bound.
	Connections int `json:"connections,omitempty"`
	// Cold says what its backends bear at their start, if that is less.
	Cold *Cold `json:"cold,omitempty"`
}
