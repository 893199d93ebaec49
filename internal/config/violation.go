package config

// FieldViolation is one thing wrong with a configuration.
type FieldViolation struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}
