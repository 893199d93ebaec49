package process

import (
	"net/http"
	"sync/atomic"
	"time"

	"curlewwalk/internal/settings"
)

// SeedSetter is given the addresses that a process asks first for the others.
type SeedSetter interface{ SetSeeds(seeds []string) }

// Reloader applies the settings that can be changed by a SIGHUP, and serves GET /v1/reload, which
// shows the outcome of the last one. Apply is to be called once at the start.
type Reloader struct {
	Discovery SeedSetter
	drain     atomic.Int64 // a time.Duration
	last      atomic.Pointer[settings.ReloadResult]
}

// Apply applies the reloadable settings.
func (r *Reloader) Apply(cfg settings.Common) {
	r.Discovery.SetSeeds(cfg.Seeds)
	r.drain.Store(int64(cfg.Drain))
}

// Drain is how long a graceful shutdown may take.
func (r *Reloader) Drain() time.Duration { return time.Duration(r.drain.Load()) }

// Reload takes newly read settings, next, in place of old, which are of the same type; common are
// those of next. An exit says that they are not valid: then nothing is applied.
func (r *Reloader) Reload(p *Process, old, next any, common settings.Common, exit settings.Exit) {
	if exit.Now {
		r.last.Store(&settings.ReloadResult{Fault: exit.Text})
		p.Log.Error("settings were not reloaded", "fault", exit.Text)
		return
	}
	result := settings.Diff(old, next)
	r.Apply(common)
	r.last.Store(&result)
	p.Log.Info("settings reloaded", "applied", result.Applied, "needs_restart", result.NeedsRestart)
}

// ServeHTTP implements http.Handler.
func (r *Reloader) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	JSON(w, http.StatusOK, r.last.Load())
}
