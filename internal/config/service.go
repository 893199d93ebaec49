package config

// Service holds the settings of a service, which apply to requests of all routes.
//
//easyjson:json
type Service struct {
	UnknownFields
	Name string `json:"name"`
	// MaxConnections bounds the connections to one backend. Zero means no bound.
	MaxConnections int `json:"connections,omitempty"`
	// SlowStart limits the requests to backends that have just started. Nil means no limit.
	SlowStart *SlowStart `json:"cold,omitempty"`
}
