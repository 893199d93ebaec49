package golden

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// descriptionPattern matches the text of a prometheus.Desc and captures the metric's name and labels.
// It ignores the help text, which the golden files do not contain.
var descriptionPattern = regexp.MustCompile(`fqName: "([^"]*)".*variableLabels: \{([^}]*)\}`)

// Metrics compares the names and labels of metrics with a golden file.
func Metrics[M prometheus.Collector](t *testing.T, name string, all []M) {
	t.Helper()
	descriptions := make(chan *prometheus.Desc, len(all))
	for _, m := range all {
		m.Describe(descriptions)
	}
	close(descriptions)
	var lines []string
	for d := range descriptions {
		found := descriptionPattern.FindStringSubmatch(d.String())
		if found == nil {
			t.Fatalf("unexpected format of a metric description: %s", d)
		}
		lines = append(lines, found[1]+" {"+found[2]+"}\n")
	}
	slices.Sort(lines)
	Check(t, name, []byte(strings.Join(lines, "")))
}
