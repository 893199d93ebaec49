package config

// Fault is one thing wrong with a configuration.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}
