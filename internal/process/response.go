package process

import (
	"encoding/json"
	"net/http"
	"strings"
)

// JSON writes a response with a value as its JSON body.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(value)
}

// Error writes an error response. Its JSON body contains the messages, joined by "; ".
func Error(w http.ResponseWriter, status int, messages ...string) {
	JSON(w, status, map[string]string{"error": strings.Join(messages, "; ")})
}
