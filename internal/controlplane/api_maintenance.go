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

// upcomingSpan is how far coming windows are shown.
const upcomingSpan = 7 * 24 * time.Hour // (ours)

// windowsResponse is what GET /v1/windows shows.
type windowsResponse struct {
	Revision uint64    `json:"stamp"`
	Now      time.Time `json:"now"`
	// Begun are the windows that the word has noted as going on.
	Begun []config.ZoneClosure `json:"noted"`
	// Upcoming are those of the next week, and those that go on.
	Upcoming []maintenance.Occurrence `json:"coming"`
}

// parseCalendar reads a calendar; an empty one has no windows.
func parseCalendar(b []byte) (maintenance.Calendar, []config.FieldViolation) {
	if len(b) == 0 {
		return maintenance.Calendar{}, nil
	}
	return maintenance.Parse(b)
}

func (n *Node) putWindows(w http.ResponseWriter, r *http.Request) {
	b, ok := readBody(w, r, "calendar", "line 1", maintenance.MaxBytes)
	if !ok {
		return
	}
	if _, faults := maintenance.Parse(b); len(faults) > 0 {
		process.JSON(w, http.StatusUnprocessableEntity, validationError{Error: "calendar does not check", Faults: faults})
		return
	}
	n.putCalendar(w, r, b)
}

// putCalendar has a calendar put; an empty one has no windows.
func (n *Node) putCalendar(w http.ResponseWriter, r *http.Request, b []byte) {
	if m, ok := parseIfMatch(w, r); ok {
		n.writeResult(w, r, n.submitDetached(r.Context(), consensus.Command{Kind: consensus.CommandPutCalendar, Payload: b, IfMatch: m}))
	}
}

func (n *Node) getWindows(w http.ResponseWriter, r *http.Request) {
	state, ok := n.readStateOrFail(w, r)
	if !ok {
		return
	}
	if strings.Contains(r.Header.Get("Accept"), "text/calendar") {
		setRevisionHeaders(w, state.CalendarRevision)
		w.Header().Set("Content-Type", "text/calendar; charset=utf-8")
		w.Write(state.Calendar)
		return
	}
	c, _ := parseCalendar(state.Calendar)
	now := n.medianWallClock()
	out := windowsResponse{Revision: state.CalendarRevision, Now: now, Begun: []config.ZoneClosure{}, Upcoming: []maintenance.Occurrence{}}
	out.Begun, out.Upcoming = append(out.Begun, state.Closures...), append(out.Upcoming, c.Between(now, now.Add(upcomingSpan))...)
	process.JSON(w, http.StatusOK, out)
}
