package config

// FieldViolation describes an invalid field of a document.
type FieldViolation struct {
	// Path is the path of the field from the root, such as $.ways[2].name.
	Path    string `json:"path"`
	Message string `json:"message"`
}
