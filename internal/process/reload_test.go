package process

import (
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/settings"
)

// seedRecorder records the seeds that were set last.
type seedRecorder struct{ seeds []string }

// SetSeeds implements SeedSetter.
func (s *seedRecorder) SetSeeds(seeds []string) { s.seeds = seeds }

// A reload applies the reloadable settings and lists those that need a restart. It changes nothing
// if the new settings are not valid. GET /v1/reload returns the result in each case.
func TestReload(t *testing.T) {
	old := settings.Common{Drain: time.Second, Seeds: []string{"a"}, Zone: "north"}
	for _, c := range []struct {
		name string
		next settings.Common
		exit settings.Exit
		want settings.ReloadResult
		// drain and seeds are the values in effect after the reload.
		drain time.Duration
		seeds []string
	}{
		{
			"nothing changed", old,
			settings.Exit{},
			settings.ReloadResult{},
			time.Second,
			[]string{"a"},
		},
		{
			"reloadable settings",
			settings.Common{Drain: 2 * time.Second, Seeds: []string{"b"}, Zone: "north"},
			settings.Exit{},
			settings.ReloadResult{Applied: []string{"seed", "drain"}},
			2 * time.Second,
			[]string{"b"},
		},
		{
			"setting that needs a restart",
			settings.Common{Drain: time.Second, Seeds: []string{"a"}, Zone: "south"},
			settings.Exit{},
			settings.ReloadResult{NeedsRestart: []string{"locality"}},
			time.Second,
			[]string{"a"},
		},
		{
			"invalid settings",
			settings.Common{Drain: 2 * time.Second},
			settings.Exit{Now: true, Code: 2, Text: "drain"},
			settings.ReloadResult{Fault: "drain"},
			time.Second,
			[]string{"a"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &Process{Log: slog.New(slog.DiscardHandler)}
			discovery := &seedRecorder{}
			r := &Reloader{Discovery: discovery}
			r.Apply(old)
			r.Reload(p, old, c.next, c.next, c.exit)
			w := httptest.NewRecorder()
			r.ServeHTTP(w, httptest.NewRequest("GET", "/v1/reload", nil))
			var got settings.ReloadResult
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(c.seeds, discovery.seeds); diff != "" || r.DrainTimeout() != c.drain {
				t.Errorf("got drain %v, want %v; seeds (-want +got):\n%s", r.DrainTimeout(), c.drain, diff)
			}
		})
	}
}
