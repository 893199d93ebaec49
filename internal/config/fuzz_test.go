package config_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/routing"
)

// FuzzParse: whatever is submitted as a configuration, it is either valid or its violations are
// listed; a valid one can be put in force, and parses to the same after it is written.
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
			t.Errorf("JSON: %v", ok)
		}
		if !ok || len(violations) > 0 {
			return
		}
		table, ok := routing.NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: b})
		if !ok {
			t.Fatal("a valid configuration can't be put in force")
		}
		table.Match("x", "/a/b", "GET")
		out := configuration.Bytes()
		again, violations, ok := config.Parse(out)
		if !ok || len(violations) > 0 || !bytes.Equal(again.Bytes(), out) {
			t.Errorf("%s is written back as %s: %v", b, out, violations)
		}
	})
}
