package config_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/routing"
)

// FuzzParse checks that any input is either a valid configuration or is reported with its
// violations. A valid configuration yields a routing table, and encodes to JSON that parses to an
// equal one.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		`{}`, `[]`, `null`, `{"ways": null}`, `{"ways": [{}], "ways": []}`, "{\"ways\": [{\"name\": \"\\ud800\"}]}",
		`{"ways": [{"name": "w", "prefix": "/", "service": "desk", "contract": "c", "methods": ["GET"], "repeatable": true, "legs": 2}],
			"contracts": [{"name": "c", "rank": 1, "aim": "1s", "expiry": "2s"}],
			"services": [{"name": "desk", "connections": 6, "cold": {"for": "5s", "rate": 4}}],
			"limits": {"header_bytes": 16384, "body_bytes": 1, "header_wait": "3s", "idle": "15s"}}`,
		`{"ways": [{"name": "w", "host": "x", "prefix": "/a/", "split": [{"service": "a", "weight": 1}, {"service": "b", "weight": 2}], "contract": "c"}],
			"contracts": [{"name": "c", "rank": 9, "aim": "3s", "expiry": "-2s"}], "more": 1e999}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		configuration, violations, ok := config.Parse(b)
		if ok != json.Valid(b) {
			t.Errorf("Parse returned ok %v, but json.Valid returns the opposite", ok)
		}
		if !ok || len(violations) > 0 {
			return
		}
		table, ok := routing.NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: b})
		if !ok {
			t.Fatal("no routing table for a valid configuration")
		}
		table.Match("x", "/a/b", "GET")
		out := configuration.Bytes()
		again, violations, ok := config.Parse(out)
		if !ok || len(violations) > 0 || !bytes.Equal(again.Bytes(), out) {
			t.Errorf("%s is encoded as %s, which parses differently: violations %v", b, out, violations)
		}
	})
}
