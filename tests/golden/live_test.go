package golden_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"

	"curlewwalk/internal/controlplane"
	"curlewwalk/internal/dataplane"
	"curlewwalk/internal/settings"
	"curlewwalk/tests/golden"
)

// freePort returns a loopback address on which nothing listens.
func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// keys returns the keys at the top level of a document, or of its elements if it is a list. Nested
// values are checked by the golden files of their types.
func keys(document any) (out []string) {
	switch v := document.(type) {
	case map[string]any:
		for key := range v {
			if !slices.Contains(optionalKeys, key) {
				out = append(out, key)
			}
		}
	case []any:
		for _, element := range v {
			for _, key := range keys(element) {
				out = append(out, "[]."+key)
			}
		}
	}
	return out
}

// optionalKeys are the keys whose presence depends on timing.
var optionalKeys = []string{"behind", "fault", "done_for"}

// request repeats an HTTP request until the response has the wanted status. It fails the test after
// 10 s. headers alternates names and values.
func request(t *testing.T, method, url, body string, status int, headers ...string) (header http.Header, content []byte) {
	t.Helper()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for end := time.Now().Add(10 * time.Second); ; <-poll.C {
		req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i+1 < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
		response, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		content, _ = io.ReadAll(response.Body)
		response.Body.Close()
		switch {
		case response.StatusCode == status:
			return response.Header, content
		case time.Now().After(end):
			t.Fatalf("%s %s: unexpected status %d: %s", method, url, response.StatusCode, content)
		}
	}
}

const (
	anyConfiguration = `{"ways":[{"name":"w","prefix":"/","service":"s","contract":"c"}],"contracts":[{"name":"c","aim":"1s","expiry":"2s","rank":1}]}`
	anyCalendar      = "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:-//x//x//EN\r\nEND:VCALENDAR\r\n"
)

// program is a running program: its name in the golden file and its control address.
type program struct{ name, control string }

// recorder records what running programs serve, as lines of the golden file.
type recorder struct {
	t     *testing.T
	lines map[string]bool
}

// record sends a request and records the status, content type, project-specific headers and keys of
// the response.
func (r *recorder) record(p program, method, path, body string, status int, headers ...string) {
	r.t.Helper()
	header, content := request(r.t, method, "http://"+p.control+path, body, status, headers...)
	at := fmt.Sprintf("%s %s %s %d", p.name, method, path, status)
	if len(headers) > 0 {
		at += " with " + headers[0]
	}
	r.lines[at+" "+header.Get("Content-Type")] = true
	for name := range header {
		if strings.HasPrefix(name, "Curlewwalk") || name == "Etag" || name == "Retry-After" {
			r.lines[at+" header "+name] = true
		}
	}
	var document any
	if json.Unmarshal(content, &document) == nil {
		for _, key := range keys(document) {
			r.lines[at+" key "+key] = true
		}
	}
}

// scrape records the types and labels of a program's metrics, except those in variableMetrics.
func (r *recorder) scrape(p program) {
	r.t.Helper()
	_, text := request(r.t, "GET", "http://"+p.control+"/metrics", "", 200)
	families, err := (&expfmt.TextParser{}).TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		r.t.Fatal(err)
	}
	for name, family := range families {
		if !strings.HasPrefix(name, "curlewwalk_") || slices.Contains(variableMetrics, strings.TrimPrefix(name, "curlewwalk_")) {
			continue
		}
		for _, m := range family.GetMetric() {
			line := fmt.Sprintf("%s metric %s %s", p.name, name, family.GetType())
			for _, label := range m.GetLabel() {
				line += fmt.Sprintf(" %s=%s", label.GetName(), label.GetValue())
			}
			r.lines[line] = true
		}
	}
}

// variableMetrics are the metrics whose label values are names of routes, services or messages, or
// depend on the requests received so far.
var variableMetrics = []string{"writes_total", "quorum_reads_total", "route_requests_total", "retry_budget", "wire_messages_total", "wire_bytes_total"}

// TestServedDocuments checks that running programs serve the same paths under /v1 as before, and that
// the keys of the documents and the labels of the metrics have not changed.
func TestServedDocuments(t *testing.T) {
	common := func() settings.Common {
		wire := freePort(t)
		return settings.Common{Zone: "north", Wire: wire, Advertise: wire, Control: freePort(t), LogLines: 100}
	}
	replicaSettings := settings.ControlPlane{Common: common(), Slot: 1, Slots: 1, GoneAfter: time.Second, Data: t.TempDir()}
	controlplane.New(replicaSettings, nil)
	sidecarSettings := settings.Sidecar{
		Common: common(), Requests: freePort(t), MaxBody: 1 << 20, BodyMemory: 1 << 24, ComeBack: time.Second,
		ExtraAttempts: 20, Beat: 500 * time.Millisecond, Shun: time.Second, Ramp: time.Second, RampFrom: 0.2, TraceQueue: 100, NoKeys: true,
	}
	sidecarSettings.Seeds = []string{replicaSettings.Wire}
	dataplane.New(sidecarSettings, nil)

	served := &recorder{t, map[string]bool{}}
	replica := program{"core", replicaSettings.Control}
	sidecar := program{"sidecar", sidecarSettings.Control}
	onReplica := func(method, path, body string, status int, headers ...string) {
		t.Helper()
		served.record(replica, method, path, body, status, headers...)
	}
	onSidecar := func(method, path, body string, status int) {
		t.Helper()
		served.record(sidecar, method, path, body, status)
	}
	onReplica("GET", "/live", "", 200)
	onReplica("GET", "/ready", "", 200)
	onReplica("GET", "/v1/desired", "", 404)
	onReplica("PUT", "/v1/desired", anyConfiguration, 200)
	onReplica("PUT", "/v1/desired", `{"ways":[]`, 400)
	onReplica("PUT", "/v1/desired", `{"ways":[{"name":"w"}],"contracts":[]}`, 422)
	onReplica("GET", "/v1/desired", "", 200)
	onReplica("PUT", "/v1/desired", anyConfiguration, 412, "If-Match", `"77"`)
	onReplica("PUT", "/v1/desired", anyConfiguration, 200, "Curlewwalk-Edition", "5")
	onReplica("PUT", "/v1/desired", anyConfiguration+" ", 409, "Curlewwalk-Edition", "5")
	onReplica("GET", "/v1/desired", "", 200)
	onSidecar("GET", "/ready", "", 200)
	onSidecar("POST", "/v1/backends", `{"instance":"i","service":"s","address":"127.0.0.1:1","locality":"north","capacity":1}`, 200)
	onSidecar("POST", "/v1/backends", `{"instance":"i"}`, 422)
	onSidecar("GET", "/v1/backends", "", 200)
	onSidecar("GET", "/v1/nodes", "", 200)
	onSidecar("GET", "/v1/stats", "", 200)
	onSidecar("GET", "/v1/reload", "", 200)
	onSidecar("GET", "/v1/budgets", "", 200)
	onSidecar("GET", "/v1/costs", "", 200)
	onSidecar("GET", "/v1/log", "", 200)
	onSidecar("DELETE", "/v1/backends/unknown", "", 404)
	onReplica("PUT", "/v1/localities/south/emptied", "", 200)
	onReplica("GET", "/v1/localities", "", 200)
	onReplica("GET", "/v1/localities/south", "", 200)
	onReplica("DELETE", "/v1/localities/south/emptied", "", 200)
	onReplica("PUT", "/v1/windows", anyCalendar, 200)
	onReplica("GET", "/v1/windows", "", 200)
	onReplica("DELETE", "/v1/windows", "", 200)
	onReplica("GET", "/v1/budgets", "", 200)
	onReplica("GET", "/v1/state", "", 200)
	onReplica("GET", "/v1/reload", "", 200)
	onReplica("GET", "/v1/log", "", 200)
	onReplica("GET", "/v1/traces/0123456789abcdef", "", 404)
	onReplica("GET", "/v1/traces/none", "", 400)

	served.scrape(replica)
	served.scrape(sidecar)

	golden.Check(t, "documents/served.txt", []byte(strings.Join(slices.Sorted(maps.Keys(served.lines)), "\n")+"\n"))
}
