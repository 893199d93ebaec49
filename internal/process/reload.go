package process

import (
	"net/http"
	"sync/atomic"
	"time"

	"curlewwalk/internal/settings"
)

// SeedSetter receives the addresses that a process contacts first to discover the other nodes.
type SeedSetter interface{ SetSeeds(seeds []string) }

// Reloader applies the settings that can be changed with a SIGHUP. It also serves GET /v1/reload,
// which returns the result of the last reload. Apply must be called once during start.
type Reloader struct {
	Discovery SeedSetter
	drain     atomic.Int64 // time.Duration
	last      atomic.Pointer[settings.ReloadResult]
}

// Apply applies the reloadable settings of cfg.
func (r *Reloader) Apply(cfg settings.Common) {
	r.Discovery.SetSeeds(cfg.Seeds)
	r.drain.Store(int64(cfg.Drain))
}

// DrainTimeout returns how long a graceful shutdown may take.
func (r *Reloader) DrainTimeout() time.Duration { return time.Duration(r.drain.Load()) }

// Reload applies newly read settings and records the result. old and next are the previous and the
// new settings and must have the same type. common is the common part of next. If exit.Now is set,
// the new settings are not valid and nothing is applied.
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
	WriteJSON(w, http.StatusOK, r.last.Load())
}
