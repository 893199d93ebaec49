package config

// SlowStart limits the request rate of a backend for a period after its start.
//
//easyjson:json
type SlowStart struct {
	UnknownFields
	// Period is the duration of the warm-up. It is validated, but the sidecar does not read it:
	// the backend's own announcement determines when its warm-up ends.
	Period Duration `json:"for"`
	// RequestsPerSecond bounds the request rate during the warm-up.
	RequestsPerSecond float64 `json:"rate"`
}
