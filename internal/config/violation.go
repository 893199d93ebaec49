package config

// FieldViolation is one thing that is wrong with a configuration.
type FieldViolation struct {
	// Path leads to the field from the top, as in $.ways[2].name.
	Path    string `json:"path"`
	Message string `json:"message"`
}
