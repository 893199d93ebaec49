package process

import (
	"encoding/json"
	"net/http"
	"strings"
)

// WriteJSON writes a response with a value as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(value)
}

// WriteError writes an error response. Its JSON body contains the messages, joined by "; ".
func WriteError(w http.ResponseWriter, status int, messages ...string) {
	WriteJSON(w, status, map[string]string{"error": strings.Join(messages, "; ")})
}
