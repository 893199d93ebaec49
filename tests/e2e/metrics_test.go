package e2e

import (
	"context"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
)

// documentedMetric matches a row of the metrics table. Its groups are the name and the program that
// exports it.
var documentedMetric = regexp.MustCompile("(?m)^\\| `(curlewwalk_[a-z_]+)` \\| (sidecar|controlplane|both) \\|")

// scrapeMetrics returns the metric families that a program exports.
func (r *rig) scrapeMetrics(control string) map[string]*dto.MetricFamily {
	r.t.Helper()
	resp, err := r.HTTP.Get("http://" + control + "/metrics")
	must(r.t, err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.t.Fatalf("GET /metrics: got status %d, want 200", resp.StatusCode)
	}
	got, err := (&expfmt.TextParser{}).TextToMetricFamilies(resp.Body)
	must(r.t, err)
	return got
}

// sampleValue returns the value of the first sample of a family that has all the given labels. labels
// holds alternating names and values.
func sampleValue(family *dto.MetricFamily, labels ...string) (value float64, found bool) {
	for _, m := range family.GetMetric() {
		if hasLabels(m, labels) {
			return m.GetCounter().GetValue() + m.GetGauge().GetValue(), true
		}
	}
	return 0, false
}

// hasLabels reports whether a sample has all the given labels.
func hasLabels(m *dto.Metric, labels []string) bool {
	for i := 0; i+1 < len(labels); i += 2 {
		if !slices.ContainsFunc(m.GetLabel(), func(l *dto.LabelPair) bool { return l.GetName() == labels[i] && l.GetValue() == labels[i+1] }) {
			return false
		}
	}
	return true
}

// TestMetrics checks that the exported metrics show what happened in the fleet. Each program must
// export exactly the metrics that OPERATING.md lists for it, and all must pass the Prometheus linter.
func TestMetrics(t *testing.T) {
	r := newRig(t)
	r.backend(1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	for range 3 {
		r.send("GET", "/look/a", "")
	}
	r.send("POST", "/once/a", "", "Idempotency-Key", "k")
	r.send("GET", "/nowhere", "")
	_, err := r.Operate(r.ctx, r.Replicas[0], "GET", configurationPath, nil)
	must(t, err)
	// The response to a request with a key is replicated at the same time as it is sent to the client.
	must(t, awaitCondition(r.ctx, func(context.Context) bool {
		replicated, _ := sampleValue(r.scrapeMetrics(r.Sidecars[1].Control)["curlewwalk_keys_held"], "state", "answered")
		return replicated == 1
	}))

	caller, callee := r.scrapeMetrics(r.Sidecars[0].Control), r.scrapeMetrics(r.Sidecars[1].Control)
	replica := r.scrapeMetrics(r.Replicas[0].Control)
	for _, want := range []struct {
		metrics map[string]*dto.MetricFamily
		name    string
		value   float64
		labels  []string
	}{
		{caller, "route_requests_total", 3, []string{"route", "look", "outcome", "answered"}},
		{caller, "route_requests_total", 1, []string{"route", "once", "outcome", "answered"}},
		{caller, "requests_total", 4, []string{"side", "client", "outcome", "answered"}},
		{caller, "requests_total", 1, []string{"side", "client", "outcome", "not-run"}},
		{callee, "requests_total", 4, []string{"side", "server", "outcome", "answered"}},
		{caller, "requests_in_flight", 0, []string{"side", "client"}},
		{caller, "retries_total", 0, nil},
		{caller, "lease_valid", 1, nil},
		{caller, "configuration_version", 1, nil},
		{caller, "sidecars_known", 2, nil},
		{callee, "backend_departures_total", 0, []string{"word", "late"}},
		{caller, "cores_live", 1, nil},
		{callee, "keys_held", 1, []string{"state", "answered"}},
		{replica, "configuration_version", 1, []string{"state", "committed"}},
		{replica, "leader", 1, nil},
		{replica, "member", 1, nil},
		{replica, "members", 1, []string{"set", "current"}},
		{replica, "cores_live", 0, nil},
		{replica, "writes_total", 1, []string{"kind", "put", "result", "taken"}},
		{replica, "quorum_reads_total", 1, []string{"outcome", "answered"}},
		{replica, "sidecars_known", 2, nil},
		{replica, "feed_ready", 1, nil},
	} {
		if got, found := sampleValue(want.metrics["curlewwalk_"+want.name], want.labels...); !found || got != want.value {
			t.Errorf("%s %v: got %v (found: %v), want %v", want.name, want.labels, got, found, want.value)
		}
	}
	if got, _ := sampleValue(caller["curlewwalk_retry_budget"], "service", "desk"); got <= 0 {
		t.Errorf("the retry budget is %v after three requests, want more than 0", got)
	}
	if got, found := sampleValue(caller["curlewwalk_lease_age_seconds"]); !found || got < 0 || got > 4*time.Second.Seconds() {
		t.Errorf("the lease is %v s old (found: %v), want 0 to 4", got, found)
	}
	for metrics, kind := range map[*map[string]*dto.MetricFamily]string{&caller: "leg", &callee: "hail", &replica: "hail"} {
		if got, _ := sampleValue((*metrics)["curlewwalk_wire_bytes_total"], "kind", kind); got <= 0 {
			t.Errorf("got no bytes of kind %s", kind)
		}
	}
	checkDocumented(t, caller, "sidecar")
	checkDocumented(t, replica, "controlplane")
}

// checkDocumented compares the metrics of a program with the documented table, and lints their names
// and types.
func checkDocumented(t *testing.T, got map[string]*dto.MetricFamily, program string) {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATING.md")
	must(t, err)
	var want, own []string
	for _, row := range documentedMetric.FindAllStringSubmatch(string(page), -1) {
		if row[2] == program || row[2] == "both" {
			want = append(want, row[1])
		}
	}
	var families []*dto.MetricFamily
	for name, family := range got {
		if strings.HasPrefix(name, "curlewwalk_") {
			own = append(own, name)
			families = append(families, family)
		}
	}
	slices.Sort(want)
	slices.Sort(own)
	if !slices.Equal(want, own) {
		t.Errorf("%s exports %v, want the documented %v", program, own, want)
	}
	problems, err := promlint.NewWithMetricFamilies(families).Lint()
	must(t, err)
	for _, p := range problems {
		t.Errorf("%s: %s", p.Metric, p.Text)
	}
}
