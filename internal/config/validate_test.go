package config

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Parse reports all violations of a document with fields of the wrong JSON type at once, each with
// its path.
func TestViolationsByPath(t *testing.T) {
	for name, c := range map[string]struct {
		body  string
		paths []string // a subset of the violations; nil if there must be none
	}{
		"empty": {`{}`, nil},
		"fields of the wrong type": {`{"contracts":[{"name":5,"aim":true,"expiry":"1s","rank":"high"}],"ways":[{"name":["x"],"repeatable":"yes"}]}`, []string{
			"$.contracts[0].name", "$.contracts[0].aim", "$.contracts[0].rank", "$.ways[0].name", "$.ways[0].repeatable",
		}},
		"lists of the wrong type":    {`{"ways":{"name":"x"},"contracts":"none"}`, []string{"$.ways", "$.contracts"}},
		"duplicate and nested names": {`{"ways":[{"name":"a","name":"b","host":{"deep":[1]}}]}`, []string{"$.ways[0].name", "$.ways[0].host"}},
		"elements of the wrong type": {`{"ways":[5,"x",null]}`, []string{"$.ways[0]", "$.ways[1]"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, violations, ok := Parse([]byte(c.body))
			if !ok {
				t.Error("got ok false for valid JSON, want true")
			}
			got := violationPaths(violations)
			for _, path := range c.paths {
				if !got[path] {
					t.Errorf("got no violation at %s among %v", path, violations)
				}
			}
			if c.paths == nil && len(violations) > 0 {
				t.Error(violations)
			}
		})
	}
}

// violationPaths returns the set of the paths of violations.
func violationPaths(violations []FieldViolation) map[string]bool {
	paths := map[string]bool{}
	for _, violation := range violations {
		paths[violation.Path] = true
	}
	return paths
}

// Each validation rule for routes, splits, services and limits reports a violation at the right
// path, and valid values report none.
func TestValidationRules(t *testing.T) {
	head := `{"contracts":[{"name":"c","aim":"1ms","expiry":"1ms","rank":1}],`
	route := func(rest string) string {
		return head + `"ways":[{"name":"w","prefix":"/","contract":"c",` + rest + `}]}`
	}
	for name, c := range map[string]struct {
		body  string
		paths []string // the paths of all violations
	}{
		"one service":                          {route(`"service":"s"`), nil},
		"most attempts":                        {route(`"service":"s","legs":10`), nil},
		"too many attempts":                    {route(`"service":"s","legs":11`), []string{"$.ways[0].legs"}},
		"negative attempts":                    {route(`"service":"s","legs":-1`), []string{"$.ways[0].legs"}},
		"no service":                           {route(`"repeatable":true`), []string{"$.ways[0].service"}},
		"empty split":                          {route(`"split":[]`), []string{"$.ways[0].service"}},
		"split":                                {route(`"split":[{"service":"a","weight":0},{"service":"b","weight":1000000}]`), nil},
		"both a split and a service":           {route(`"service":"s","split":[{"service":"a","weight":1}]`), []string{"$.ways[0].service"}},
		"weights that are all 0":               {route(`"split":[{"service":"a","weight":0}]`), []string{"$.ways[0].split"}},
		"service twice in a split":             {route(`"split":[{"service":"a","weight":1},{"service":"a","weight":1}]`), []string{"$.ways[0].split[1].service"}},
		"weight and service name out of range": {route(`"split":[{"service":"a","weight":1000001},{"service":"A","weight":1}]`), []string{"$.ways[0].split[0].weight", "$.ways[0].split[1].service"}},
		"negative and fractional weight, unknown field": {
			route(`"split":[{"service":"a","weight":-1},{"service":"b","weight":0.5,"x":1}]`),
			[]string{"$.ways[0].split[0].weight", "$.ways[0].split[1].weight", "$.ways[0].split[1].x", "$.ways[0].split"},
		},
		"services that are not listed": {head + `"services":[{"name":"a"},{"name":"b"}],"ways":[{"name":"w","prefix":"/","contract":"c","service":"s"},{"name":"v","prefix":"/v","contract":"c","split":[{"service":"a","weight":1},{"service":"x","weight":1}]}]}`, []string{
			"$.ways[0].service", "$.ways[1].split[1].service",
		}},
		"services": {`{"services":[{"name":"a","connections":0,"cold":{"for":"3s","rate":9.3}},{"name":"a"},{"name":"b","connections":-1,"cold":{"for":"0s","rate":0,"x":1},"y":1}]}`, []string{
			"$.services[1].name", "$.services[2].connections", "$.services[2].cold.for", "$.services[2].cold.rate", "$.services[2].cold.x", "$.services[2].y",
		}},
		"no services and limits": {`{"services":[],"limits":{}}`, nil},
		"limits":                 {`{"limits":{"header_bytes":1024,"body_bytes":1048576,"header_wait":"5s","idle":"1m"}}`, nil},
		"limits out of range": {`{"limits":{"header_bytes":-1,"body_bytes":-1,"header_wait":"-5s","idle":"soon","x":{}}}`, []string{
			"$.limits.header_bytes", "$.limits.body_bytes", "$.limits.header_wait", "$.limits.idle", "$.limits.x",
		}},
		"duplicate unknown field": {`{"limits":{"a":1,"\u0061":2}}`, []string{"$.limits.a"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, violations, ok := Parse([]byte(c.body))
			want := map[string]bool{}
			for _, path := range c.paths {
				want[path] = true
			}
			if d := cmp.Diff(want, violationPaths(violations)); d != "" || !ok {
				t.Errorf("violation paths (-want +got): %s; got violations %v", d, violations)
			}
		})
	}
}

// Duplicate names are also found in objects with more names than linearSearchLimit, which are
// searched by a map.
func TestDuplicateNamesInLargeObjects(t *testing.T) {
	text := "{"
	for i := range 3 * linearSearchLimit {
		text += fmt.Sprintf("\"n%d\":{\"deep\":[0,{\"x\":1,\"x\":2}]},", i%(2*linearSearchLimit))
	}
	sc := newScanner([]byte(text + `"last":0}`))
	got := map[string]int{}
	for _, violation := range sc.duplicates {
		got[violation.Path]++
	}
	for i := range 2 * linearSearchLimit {
		deep, top := fmt.Sprintf("$.n%d.deep[1].x", i), fmt.Sprintf("$.n%d", i)
		wantDeep, wantTop := 1, 0
		if i < linearSearchLimit {
			wantDeep, wantTop = 2, 1
		}
		if got[deep] != wantDeep || got[top] != wantTop {
			t.Errorf("got %s reported %d times, %s reported %d times", deep, got[deep], top, got[top])
		}
	}
}
