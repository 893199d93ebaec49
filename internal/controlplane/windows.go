package controlplane

import (
	"net/http"
	"strings"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/maintenance"
	"curlewwalk/internal/process"
)

// ahead is how far coming windows are shown.
const ahead = 7 * 24 * time.Hour // (ours)

// windows is what GET /v1/windows shows.
type windows struct {
	Stamp uint64    `json:"stamp"`
	Now   time.Time `json:"now"`
	// Noted are the windows that the word has noted as going on.
	Noted []config.ZoneClosure `json:"noted"`
	// Coming are those of the next week, and those that go on.
	Coming []maintenance.Occurrence `json:"coming"`
}

// read reads a calendar; an empty one has no windows.
func read(b []byte) (maintenance.Calendar, []config.FieldViolation) {
	if len(b) == 0 {
		return maintenance.Calendar{}, nil
	}
	return maintenance.Parse(b)
}

func (n *Node) putWindows(w http.ResponseWriter, r *http.Request) {
	b, ok := body(w, r, "calendar", "line 1", maintenance.MaxBytes)
	if !ok {
		return
	}
	if _, faults := maintenance.Parse(b); len(faults) > 0 {
		process.JSON(w, http.StatusUnprocessableEntity, faulty{Error: "calendar does not check", Faults: faults})
		return
	}
	n.calendar(w, r, b)
}

// calendar has a calendar put; an empty one has no windows.
func (n *Node) calendar(w http.ResponseWriter, r *http.Request, b []byte) {
	if m, ok := ifMatch(w, r); ok {
		n.response(w, r, n.obey(r.Context(), consensus.Command{Kind: consensus.CommandPutCalendar, Payload: b, IfMatch: m}))
	}
}

func (n *Node) getWindows(w http.ResponseWriter, r *http.Request) {
	state, ok := n.read(w, r)
	if !ok {
		return
	}
	if strings.Contains(r.Header.Get("Accept"), "text/calendar") {
		stamped(w, state.CalendarRevision)
		w.Header().Set("Content-Type", "text/calendar; charset=utf-8")
		w.Write(state.Calendar)
		return
	}
	c, _ := read(state.Calendar)
	now := n.wall()
	out := windows{Stamp: state.CalendarRevision, Now: now, Noted: []config.ZoneClosure{}, Coming: []maintenance.Occurrence{}}
	out.Noted, out.Coming = append(out.Noted, state.Closures...), append(out.Coming, c.Between(now, now.Add(ahead))...)
	process.JSON(w, http.StatusOK, out)
}
