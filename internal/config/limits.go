package config

// Limits bound what clients may send; a zero is no word on it.
//
//easyjson:json
type Limits struct {
	UnknownFields
	// MaxHeaderBytes bounds a request's header, and BodyBytes its body.
	MaxHeaderBytes int   `json:"header_bytes,omitempty"`
	MaxBodyBytes   int64 `json:"body_bytes,omitempty"`
	// ReadHeaderTimeout is how long a header may take to come.
	ReadHeaderTimeout Duration `json:"header_wait,omitempty"`
	// IdleTimeout is how long a connection may lie unused.
	IdleTimeout Duration `json:"idle,omitempty"`
}

// IsDefined implements easyjson.Optional: limits without any are left out.
func (l Limits) IsDefined() bool {
	return l.MaxHeaderBytes != 0 || l.MaxBodyBytes != 0 || l.ReadHeaderTimeout.IsDefined() || l.IdleTimeout.IsDefined()
}
