package config

// Limits bounds the requests of clients. A zero field selects the default of the sidecar. The
// limits are validated and passed to the routing table, but the sidecar does not apply them.
//
//easyjson:json
type Limits struct {
	UnknownFields
	// MaxHeaderBytes bounds the header of a request. MaxBodyBytes bounds its body.
	MaxHeaderBytes int   `json:"header_bytes,omitempty"`
	MaxBodyBytes   int64 `json:"body_bytes,omitempty"`
	// ReadHeaderTimeout is how long a client may take to send a header.
	ReadHeaderTimeout Duration `json:"header_wait,omitempty"`
	// IdleTimeout is how long a connection may stay idle between requests.
	IdleTimeout Duration `json:"idle,omitempty"`
}

// IsDefined implements easyjson.Optional. Limits whose fields are all zero are omitted.
func (l Limits) IsDefined() bool {
	return l.MaxHeaderBytes != 0 || l.MaxBodyBytes != 0 || l.ReadHeaderTimeout.IsDefined() || l.IdleTimeout.IsDefined()
}
