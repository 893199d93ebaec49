package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"curlewwalk/tests/ledger"
)

// TestHostileInput checks that faulty or malicious input from operators and backends is rejected with
// an error that names the wrong field, and has no effect. The inputs are too large, deeply nested,
// repeated, truncated or out of range.
func TestHostileInput(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	announcementPrefix := `{"instance": "a", "service": "desk", "address": "127.0.0.1:1", "capacity": 1`
	replica, sidecar := "http://"+r.Replicas[0].Control, "http://"+r.Sidecars[1].Control
	for _, test := range []struct {
		method, url, body, header string
		status                    int
		message                   string
	}{
		{"POST", sidecar + "/v1/backends", "", "", 400, "announcement"},
		{"POST", sidecar + "/v1/backends", announcementPrefix, "", 400, "announcement"},
		{"POST", sidecar + "/v1/backends", "[]", "", 400, "announcement"},
		{"POST", sidecar + "/v1/backends", strings.Repeat("[", 60000), "", 400, "announcement"},
		{"POST", sidecar + "/v1/backends", announcementPrefix + `, "x": "` + strings.Repeat("y", 100000) + `"}`, "", 400, "too large"},
		{"POST", sidecar + "/v1/backends", announcementPrefix + `, "capacity": -5}`, "", 422, "capacity"},
		{"POST", sidecar + "/v1/backends", announcementPrefix + `, "capacity": 1000000000}`, "", 422, "capacity"},
		{"POST", sidecar + "/v1/backends", announcementPrefix + `, "service": "De Sk"}`, "", 422, "service"},
		{"POST", sidecar + "/v1/backends", announcementPrefix + `, "locality": "../north"}`, "", 422, "locality"},
		{"POST", sidecar + "/v1/backends", announcementPrefix + `, "address": "example.org:80"}`, "", 422, "address"},
		{"POST", sidecar + "/v1/backends", announcementPrefix + `, "warmup": {"share": 7, "ramp": "-3s"}}`, "", 422, "warmup.share"},
		{"DELETE", sidecar + "/v1/backends/nobody", "", "", 404, "no such"},
		{"PUT", replica + "/v1/localities/No%20Where/emptied", "", "", 422, "No Where"},
		{"PUT", replica + "/v1/localities/" + strings.Repeat("x", 64) + "/emptied", "", "", 422, "at most 63"},
		{"PUT", replica + configurationPath, strings.Repeat("[", 200000), "", 400, "not JSON"},
		{"PUT", replica + configurationPath, string(r.Configuration()), "If-Match: newest", 400, "If-Match"},
		{"PUT", replica + "/v1/windows", "", "", 422, "line 1"},
		{"PUT", replica + "/v1/windows", strings.Repeat("x", 1<<19), "", 422, "over"},
		{"GET", replica + "/v1/traces/zz", "", "", 400, "hex"},
	} {
		t.Run(fmt.Sprintf("%s %s %.20s", test.method, strings.TrimPrefix(test.url, "http://"), test.body), func(t *testing.T) {
			req, err := http.NewRequestWithContext(r.ctx, test.method, test.url, bytes.NewReader([]byte(test.body)))
			must(t, err)
			if name, value, ok := strings.Cut(test.header, ": "); ok {
				req.Header.Set(name, value)
			}
			resp, err := r.HTTP.Do(req)
			must(t, err)
			defer resp.Body.Close()
			b, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != test.status || !bytes.Contains(b, []byte(test.message)) {
				t.Errorf("%s %s %.60s: got %d %.200s, want %d with %q", test.method, test.url, test.body, resp.StatusCode, b, test.status, test.message)
			}
		})
	}
	var known []any
	if _, err := r.Sidecars[1].Get(r.ctx, "/v1/backends", &known); err != nil || len(known) > 0 {
		t.Errorf("got backends %v, error %v; want none", known, err)
	}
	// The departure of an unknown backend is recorded, so that a late announcement has no effect. It makes
	// the one new revision. Nothing else may make one, and the configuration stays as it was.
	if revision, err := r.Revision(r.ctx, r.Sidecars[1]); err != nil || revision != r.FirstRevision+1 {
		t.Errorf("the revision changed from %d to %d, error %v; want one more, for the departure", r.FirstRevision, revision, err)
	}
	read, err := r.Operate(r.ctx, r.Replicas[0], http.MethodGet, configurationPath, nil)
	must(t, err)
	if read.Status != http.StatusOK || read.Revision != r.FirstRevision || !bytes.Equal(read.Body, r.Configuration()) {
		t.Errorf("read back: got status %d, revision %d, %.200s; want the first configuration under revision %d", read.Status, read.Revision, read.Body, r.FirstRevision)
	}
	r.expect(r.send("POST", "/once/", "x", "Idempotency-Key", strings.Repeat("k", 256)), 400, ledger.OutcomeNotRun)
}
