package config

// Limits bound what clients may send; a zero is no word on it.
//
//easyjson:json
type Limits struct {
	Stray
	// HeaderBytes bounds a request's header, and BodyBytes its body.
	HeaderBytes int   `json:"header_bytes,omitempty"`
	BodyBytes   int64 `json:"body_bytes,omitempty"`
	// HeaderWait is how long a header may take to come.
	HeaderWait Duration `json:"header_wait,omitempty"`
	// Idle is how long a connection may lie unused.
	Idle Duration `json:"idle,omitempty"`
}

// IsDefined implements easyjson.Optional: limits without any are left out.
func (l Limits) IsDefined() bool {
	return l.HeaderBytes != 0 || l.BodyBytes != 0 || l.HeaderWait.IsDefined() || l.Idle.IsDefined()
}
