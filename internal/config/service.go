package config

// Service holds the settings of a service, which apply to requests of all routes.
//
//easyjson:json
type Service struct {
	UnknownFields
	Name string `json:"name"`
	// MaxConnections bounds the concurrent connections to one backend, and thereby the requests
	// that it runs concurrently. The capacity of the backend is a bound too. Zero means that only
	// the capacity counts.
	MaxConnections int `json:"connections,omitempty"`
	// SlowStart limits the requests to backends that have just started. Nil means no limit.
	SlowStart *SlowStart `json:"cold,omitempty"`
}
