package config

// Service says what holds for a service, whichever route leads to it.
//
//easyjson:json
type Service struct {
	UnknownFields
	Name string `json:"name"`
	// MaxConnections bounds the connections to one backend; 0 is no bound.
	MaxConnections int `json:"connections,omitempty"`
	// SlowStart limits backends that have just started; nil does not.
	SlowStart *SlowStart `json:"cold,omitempty"`
}
