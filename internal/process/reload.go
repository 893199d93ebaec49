package process

import (
	"net/http"
	"sync/atomic"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/settings"
)

// Reloader puts in force what a SIGHUP can, and shows what it could not.
type Reloader struct {
	Discovery *membership.Discovery
	drain     atomic.Int64
	last      atomic.Pointer[settings.ReloadResult]
}

// Apply puts the reloadable settings in force.
func (r *Reloader) Apply(c settings.Common) {
	r.Discovery.SetSeeds(c.Seeds)
	r.drain.Store(int64(c.Drain))
}

// Drain is how long what was handed over may take to finish.
func (r *Reloader) Drain() time.Duration { return time.Duration(r.drain.Load()) }

// Reload takes newly read settings next in place of old.
func (r *Reloader) Reload(p *Process, old, next any, common settings.Common, exit settings.Exit) {
	if exit.Now {
		r.last.Store(&settings.ReloadResult{Fault: exit.Text})
		p.Log.Error("settings were not reloaded", "fault", exit.Text)
		return
	}
	diff := settings.Diff(old, next)
	r.Apply(common)
	r.last.Store(&diff)
	p.Log.Info("settings reloaded", "applied", diff.Applied, "needs_restart", diff.NeedsRestart)
}

// ServeHTTP shows what the last SIGHUP came to.
func (r *Reloader) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	JSON(w, http.StatusOK, r.last.Load())
}
