package golden

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// described is how a description of a metric prints itself: its name and its labels are kept
// fixed, its help text is not.
var described = regexp.MustCompile(`fqName: "([^"]*)".*variableLabels: \{([^}]*)\}`)

// Metrics checks the names and labels of metrics.
func Metrics[M prometheus.Collector](t *testing.T, name string, all []M) {
	t.Helper()
	descriptions := make(chan *prometheus.Desc, len(all))
	for _, m := range all {
		m.Describe(descriptions)
	}
	close(descriptions)
	var lines []string
	for d := range descriptions {
		found := described.FindStringSubmatch(d.String())
		if found == nil {
			t.Fatalf("%s is no description", d)
		}
		lines = append(lines, found[1]+" {"+found[2]+"}\n")
	}
	slices.Sort(lines)
	Check(t, name, []byte(strings.Join(lines, "")))
}
