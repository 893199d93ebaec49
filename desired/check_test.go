package desired

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Faults are told by path, all in one go, wherever the JSON breaks the form.
func TestFaultsByPath(t *testing.T) {
	for body, want := range map[string][]string{
		`{}`: nil,
		`{"contracts":[{"name":5,"aim":true,"expiry":"1s","rank":"high"}],"ways":[{"name":["x"],"repeatable":"yes"}]}`: {
			"$.contracts[0].name", "$.contracts[0].aim", "$.contracts[0].rank", "$.ways[0].name", "$.ways[0].repeatable"},
		`{"ways":{"name":"x"},"contracts":"none"}`:               {"$.ways", "$.contracts"},
		`{"ways":[{"name":"a","name":"b","host":{"deep":[1]}}]}`: {"$.ways[0].name", "$.ways[0].host"},
		`{"ways":[5,"x",null]}`:                                  {"$.ways[0]", "$.ways[1]"},
	} {
		_, faults, ok := Parse([]byte(body))
		if !ok {
			t.Errorf("%s: not read as JSON", body)
		}
		paths := map[string]bool{}
		for _, f := range faults {
			paths[f.Path] = true
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
