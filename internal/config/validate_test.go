package config

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Faults are told by path, all in one go, wherever the JSON breaks the form.
func TestViolationsByPath(t *testing.T) {
	for body, want := range map[string][]string{
		`{}`: nil,
		`{"contracts":[{"name":5,"aim":true,"expiry":"1s","rank":"high"}],"ways":[{"name":["x"],"repeatable":"yes"}]}`: {
			"$.contracts[0].name", "$.contracts[0].aim", "$.contracts[0].rank", "$.ways[0].name", "$.ways[0].repeatable",
		},
		`{"ways":{"name":"x"},"contracts":"none"}`:               {"$.ways", "$.contracts"},
		`{"ways":[{"name":"a","name":"b","host":{"deep":[1]}}]}`: {"$.ways[0].name", "$.ways[0].host"},
		`{"ways":[5,"x",null]}`:                                  {"$.ways[0]", "$.ways[1]"},
	} {
		_, faults, ok := Parse([]byte(body))
		if !ok {
			t.Errorf("%s: not read as JSON", body)
		}
		paths := map[string]bool{}
		for _, violation := range faults {
			paths[violation.Path] = true
		}
		for _, p := range want {
			if !paths[p] {
				t.Errorf("%s: no fault at %s: %s", body, p, cmp.Diff(nil, faults))
			}
		}
		if want == nil && len(faults) > 0 {
			t.Errorf("%s: %v", body, faults)
		}
	}
}

// Each rule of splits, services and limits has its fault.
func TestValidationRules(t *testing.T) {
	head := `{"contracts":[{"name":"c","aim":"1ms","expiry":"1ms","rank":1}],`
	route := func(rest string) string {
		return head + `"ways":[{"name":"w","prefix":"/","contract":"c",` + rest + `}]}`
	}
	for body, want := range map[string][]string{
		route(`"service":"s"`):           nil,
		route(`"service":"s","legs":10`): nil,
		route(`"service":"s","legs":11`): {"$.ways[0].legs"},
		route(`"service":"s","legs":-1`): {"$.ways[0].legs"},
		route(`"repeatable":true`):       {"$.ways[0].service"},
		route(`"split":[]`):              {"$.ways[0].service"},
		route(`"split":[{"service":"a","weight":0},{"service":"b","weight":1000000}]`):    nil,
		route(`"service":"s","split":[{"service":"a","weight":1}]`):                       {"$.ways[0].service"},
		route(`"split":[{"service":"a","weight":0}]`):                                     {"$.ways[0].split"},
		route(`"split":[{"service":"a","weight":1},{"service":"a","weight":1}]`):          {"$.ways[0].split[1].service"},
		route(`"split":[{"service":"a","weight":1000001},{"service":"A","weight":1}]`):    {"$.ways[0].split[0].weight", "$.ways[0].split[1].service"},
		route(`"split":[{"service":"a","weight":-1},{"service":"b","weight":0.5,"x":1}]`): {"$.ways[0].split[0].weight", "$.ways[0].split[1].weight", "$.ways[0].split[1].x", "$.ways[0].split"},
		head + `"services":[{"name":"a"},{"name":"b"}],"ways":[{"name":"w","prefix":"/","contract":"c","service":"s"},{"name":"v","prefix":"/v","contract":"c","split":[{"service":"a","weight":1},{"service":"x","weight":1}]}]}`: {
			"$.ways[0].service", "$.ways[1].split[1].service",
		},
		`{"services":[{"name":"a","connections":0,"cold":{"for":"3s","rate":9.3}},{"name":"a"},{"name":"b","connections":-1,"cold":{"for":"0s","rate":0,"x":1},"y":1}]}`: {
			"$.services[1].name", "$.services[2].connections", "$.services[2].cold.for", "$.services[2].cold.rate", "$.services[2].cold.x", "$.services[2].y",
		},
		`{"services":[],"limits":{}}`: nil,
		`{"limits":{"header_bytes":1024,"body_bytes":1048576,"header_wait":"5s","idle":"1m"}}`: nil,
		`{"limits":{"header_bytes":-1,"body_bytes":-1,"header_wait":"-5s","idle":"soon","x":{}}}`: {
			"$.limits.header_bytes", "$.limits.body_bytes", "$.limits.header_wait", "$.limits.idle", "$.limits.x",
		},
		`{"limits":{"a":1,"\u0061":2}}`: {"$.limits.a"},
	} {
		_, faults, ok := Parse([]byte(body))
		got := map[string]bool{}
		for _, violation := range faults {
			got[violation.Path] = true
		}
		expect := map[string]bool{}
		for _, p := range want {
			expect[p] = true
		}
		if d := cmp.Diff(expect, got); d != "" || !ok {
			t.Errorf("%s: %s %v", body, d, faults)
		}
	}
}

// Names that stand twice are found in objects of many names too.
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
			t.Errorf("%s %d times, %s %d times", deep, got[deep], top, got[top])
		}
	}
}
