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

// freePort is an address that nothing listens at.
func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// keys lists the keys of a document, of its elements if it is a list. What is in them is held
// by the golden files of their types.
func keys(document any) (out []string) {
	switch v := document.(type) {
	case map[string]any:
		for key := range v {
			if !slices.Contains(passing, key) {
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

// passing are the keys that are there or not as the moment wills.
var passing = []string{"behind", "fault", "done_for"}

// ask sends a request until it is answered with a status; headers are given as name and value
// in turn.
func ask(t *testing.T, method, url, body string, status int, headers ...string) (header http.Header, answer []byte) {
	t.Helper()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for end := time.Now().Add(10 * time.Second); ; <-poll.C {
		request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i+1 < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		answer, _ = io.ReadAll(response.Body)
		response.Body.Close()
		switch {
		case response.StatusCode == status:
			return response.Header, answer
		case time.Now().After(end):
			t.Fatalf("%s %s: status %d: %s", method, url, response.StatusCode, answer)
		}
	}
}

const (
	anyConfiguration = `{"ways":[{"name":"w","prefix":"/","service":"s","contract":"c"}],"contracts":[{"name":"c","aim":"1s","expiry":"2s","rank":1}]}`
	anyCalendar      = "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:-//x//x//EN\r\nEND:VCALENDAR\r\n"
)

// program is a running program: its name in the golden file, and its control address.
type program struct{ name, control string }

// served notes what running programs serve.
type served struct {
	t     *testing.T
	lines map[string]bool
}

// look notes the answer to a request: its status, the headers that are our own, and the keys.
func (s *served) look(p program, method, path, body string, status int, headers ...string) {
	s.t.Helper()
	header, answer := ask(s.t, method, "http://"+p.control+path, body, status, headers...)
	at := fmt.Sprintf("%s %s %s %d", p.name, method, path, status)
	if len(headers) > 0 {
		at += " with " + headers[0]
	}
	s.lines[at+" "+header.Get("Content-Type")] = true
	for name := range header {
		if strings.HasPrefix(name, "Curlewwalk") || name == "Etag" || name == "Retry-After" {
			s.lines[at+" header "+name] = true
		}
	}
	var document any
	if json.Unmarshal(answer, &document) == nil {
		for _, key := range keys(document) {
			s.lines[at+" key "+key] = true
		}
	}
}

// scrape notes the types of the metrics, and the values of their labels where these are not
// names of routes, services and messages, nor depend on what was asked so far.
func (s *served) scrape(p program) {
	s.t.Helper()
	_, text := ask(s.t, "GET", "http://"+p.control+"/metrics", "", 200)
	families, err := (&expfmt.TextParser{}).TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		s.t.Fatal(err)
	}
	for name, family := range families {
		if !strings.HasPrefix(name, "curlewwalk_") || slices.Contains(open, strings.TrimPrefix(name, "curlewwalk_")) {
			continue
		}
		for _, m := range family.GetMetric() {
			line := fmt.Sprintf("%s metric %s %s", p.name, name, family.GetType())
			for _, label := range m.GetLabel() {
				line += fmt.Sprintf(" %s=%s", label.GetName(), label.GetValue())
			}
			s.lines[line] = true
		}
	}
}

// open are the metrics whose samples depend on what was asked so far.
var open = []string{"writes_total", "quorum_reads_total", "route_requests_total", "retry_budget", "wire_messages_total", "wire_bytes_total"}

// Running programs serve the paths under /v1 that they always have, and the documents there
// have the keys that they always had; so have the metrics their labels.
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

	s := &served{t, map[string]bool{}}
	replica := program{"core", replicaSettings.Control}
	sidecar := program{"sidecar", sidecarSettings.Control}
	onReplica := func(method, path, body string, status int, headers ...string) {
		t.Helper()
		s.look(replica, method, path, body, status, headers...)
	}
	onSidecar := func(method, path, body string, status int) {
		t.Helper()
		s.look(sidecar, method, path, body, status)
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

	s.scrape(replica)
	s.scrape(sidecar)

	golden.Check(t, "documents/served.txt", []byte(strings.Join(slices.Sorted(maps.Keys(s.lines)), "\n")+"\n"))
}
