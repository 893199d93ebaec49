package golden_test

import (
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

// ask sends a request until it is answered with a status.
func ask(t *testing.T, method, url, body string, status int) (header http.Header, answer []byte) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
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

// Running programs serve the paths under /v1 that they always have, and the documents there
// have the keys that they always had.
func TestServedDocuments(t *testing.T) {
	common := func() settings.Common {
		wire := freePort(t)
		return settings.Common{Zone: "north", Wire: wire, Advertise: wire, Control: freePort(t), LogLines: 100}
	}
	coreSet := settings.ControlPlane{Common: common(), Slot: 1, Slots: 1, GoneAfter: time.Second, Data: t.TempDir()}
	controlplane.New(coreSet, nil)
	sidecarSet := settings.Sidecar{
		Common: common(), Requests: freePort(t), MaxBody: 1 << 20, BodyMemory: 1 << 24, ComeBack: time.Second,
		ExtraAttempts: 20, Beat: 500 * time.Millisecond, Shun: time.Second, Ramp: time.Second, RampFrom: 0.2, TraceQueue: 100, NoKeys: true,
	}
	sidecarSet.Seeds = []string{coreSet.Wire}
	dataplane.New(sidecarSet, nil)

	lines := map[string]bool{}
	look := func(program, method, control, path, body string, status int) {
		t.Helper()
		header, answer := ask(t, method, "http://"+control+path, body, status)
		at := fmt.Sprintf("%s %s %s %d", program, method, path, status)
		lines[at+" "+header.Get("Content-Type")] = true
		for name := range header {
			if strings.HasPrefix(name, "Curlewwalk") || name == "Etag" || name == "Retry-After" {
				lines[at+" header "+name] = true
			}
		}
		var document any
		if json.Unmarshal(answer, &document) == nil {
			for _, key := range keys(document) {
				lines[at+" key "+key] = true
			}
		}
	}
	onCore := func(method, path, body string, status int) {
		t.Helper()
		look("core", method, coreSet.Control, path, body, status)
	}
	onSidecar := func(method, path, body string, status int) {
		t.Helper()
		look("sidecar", method, sidecarSet.Control, path, body, status)
	}
	onCore("GET", "/live", "", 200)
	onCore("GET", "/ready", "", 200)
	onCore("GET", "/v1/desired", "", 404)
	onCore("PUT", "/v1/desired", anyConfiguration, 200)
	onCore("PUT", "/v1/desired", `{"ways":[]`, 400)
	onCore("PUT", "/v1/desired", `{"ways":[{"name":"w"}],"contracts":[]}`, 422)
	onCore("GET", "/v1/desired", "", 200)
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
	onCore("PUT", "/v1/localities/south/emptied", "", 200)
	onCore("GET", "/v1/localities", "", 200)
	onCore("GET", "/v1/localities/south", "", 200)
	onCore("DELETE", "/v1/localities/south/emptied", "", 200)
	onCore("PUT", "/v1/windows", anyCalendar, 200)
	onCore("GET", "/v1/windows", "", 200)
	onCore("DELETE", "/v1/windows", "", 200)
	onCore("GET", "/v1/budgets", "", 200)
	onCore("GET", "/v1/state", "", 200)
	onCore("GET", "/v1/reload", "", 200)
	onCore("GET", "/v1/log", "", 200)
	onCore("GET", "/v1/traces/0123456789abcdef", "", 404)
	onCore("GET", "/v1/traces/none", "", 400)

	golden.Check(t, "documents/served.txt", []byte(strings.Join(slices.Sorted(maps.Keys(lines)), "\n")+"\n"))
}
