package e2e

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// What operators and backends may send in error or in malice is refused by field,
// and nothing of it is taken: huge, deep, doubled, cut short, out of range.
func TestHostileInput(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	good := `{"instance": "a", "service": "desk", "address": "127.0.0.1:1", "capacity": 1`
	core, sidecar := "http://"+r.Replicas[0].Control, "http://"+r.Sidecars[1].Control
	for _, c := range []struct {
		method, url, body, header string
		status                    int
		says                      string
	}{
		{"POST", sidecar + "/v1/backends", "", "", 400, "announcement"},
		{"POST", sidecar + "/v1/backends", good, "", 400, "announcement"},
		{"POST", sidecar + "/v1/backends", "[]", "", 400, "announcement"},
		{"POST", sidecar + "/v1/backends", strings.Repeat("[", 60000), "", 400, "announcement"},
		{"POST", sidecar + "/v1/backends", good + `, "x": "` + strings.Repeat("y", 100000) + `"}`, "", 400, "too large"},
		{"POST", sidecar + "/v1/backends", good + `, "capacity": -5}`, "", 422, "capacity"},
		{"POST", sidecar + "/v1/backends", good + `, "capacity": 1000000000}`, "", 422, "capacity"},
		{"POST", sidecar + "/v1/backends", good + `, "service": "De Sk"}`, "", 422, "service"},
		{"POST", sidecar + "/v1/backends", good + `, "locality": "../north"}`, "", 422, "locality"},
		{"POST", sidecar + "/v1/backends", good + `, "address": "example.org:80"}`, "", 422, "address"},
		{"POST", sidecar + "/v1/backends", good + `, "warmup": {"share": 7, "ramp": "-3s"}}`, "", 422, "warmup.share"},
		{"DELETE", sidecar + "/v1/backends/nobody", "", "", 404, "no such"},
		{"PUT", core + "/v1/localities/No%20Where/emptied", "", "", 422, "No Where"},
		{"PUT", core + "/v1/localities/" + strings.Repeat("x", 64) + "/emptied", "", "", 422, "at most 63"},
		{"PUT", core + "/v1/desired", strings.Repeat("[", 200000), "", 400, "not JSON"},
		{"PUT", core + "/v1/desired", string(r.Configuration()), "If-Match: newest", 400, "If-Match"},
		{"PUT", core + "/v1/windows", "", "", 422, "line 1"},
		{"PUT", core + "/v1/windows", strings.Repeat("x", 1<<19), "", 422, "over"},
		{"GET", core + "/v1/traces/zz", "", "", 400, "hex"},
	} {
		req, err := http.NewRequestWithContext(r.ctx, c.method, c.url, bytes.NewReader([]byte(c.body)))
		must(t, err)
		if name, value, ok := strings.Cut(c.header, ": "); ok {
			req.Header.Set(name, value)
		}
		resp, err := r.HTTP.Do(req)
		must(t, err)
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != c.status || !bytes.Contains(b, []byte(c.says)) {
			t.Errorf("%s %s %.60s: %d %.200s, want %d with %q", c.method, c.url, c.body, resp.StatusCode, b, c.status, c.says)
		}
	}
	var known []any
	if _, err := r.Sidecars[1].Get(r.ctx, "/v1/backends", &known); err != nil || len(known) > 0 {
		t.Errorf("taken: %v %v", known, err)
	}
	if s, err := r.Revision(r.ctx, r.Sidecars[1]); err != nil || s != r.FirstRevision {
		t.Errorf("the stamp went from %d to %d", r.FirstRevision, s)
	}
	r.expect(r.send("POST", "/once/", "x", "Idempotency-Key", strings.Repeat("k", 256)), 400, "not-run")
}
