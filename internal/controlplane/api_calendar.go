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

// upcomingSpan is how far ahead GET /v1/windows lists maintenance windows.
const upcomingSpan = 7 * 24 * time.Hour

// windowsResponse is the JSON response to GET /v1/windows.
type windowsResponse struct {
	Revision uint64    `json:"stamp"`
	Now      time.Time `json:"now"`
	// Begun lists the windows that the control state records as begun and not yet ended.
	Begun []config.ZoneClosure `json:"noted"`
	// Upcoming lists the windows that are active now or begin within upcomingSpan.
	Upcoming []maintenance.Occurrence `json:"coming"`
}

// parseCalendar parses a stored calendar. An empty document has no windows and no violations.
func parseCalendar(calendar []byte) (maintenance.Calendar, []config.FieldViolation) {
	if len(calendar) == 0 {
		return maintenance.Calendar{}, nil
	}
	return maintenance.Parse(calendar)
}

// putCalendar handles PUT /v1/windows.
func (n *Node) putCalendar(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, "calendar", "line 1", maintenance.MaxBytes)
	if !ok {
		return
	}
	if _, violations := maintenance.Parse(body); len(violations) > 0 {
		writeViolations(w, "calendar does not check", violations...)
		return
	}
	n.replaceCalendar(w, r, body)
}

// deleteCalendar handles DELETE /v1/windows.
func (n *Node) deleteCalendar(w http.ResponseWriter, r *http.Request) { n.replaceCalendar(w, r, nil) }

func (n *Node) replaceCalendar(w http.ResponseWriter, r *http.Request, calendar []byte) {
	if revision, ok := parseIfMatch(w, r); ok {
		command := consensus.Command{Kind: consensus.CommandPutCalendar, Payload: calendar, IfMatch: revision}
		n.writeResult(w, r, n.commands.submitDetached(r.Context(), command))
	}
}

// getCalendar handles GET /v1/windows. If the client accepts text/calendar, the response is the
// calendar file as the operator submitted it. Otherwise the response lists its windows as JSON.
func (n *Node) getCalendar(w http.ResponseWriter, r *http.Request) {
	state, ok := n.readState(w, r)
	if !ok {
		return
	}
	if strings.Contains(r.Header.Get("Accept"), "text/calendar") {
		setRevisionHeaders(w, state.CalendarRevision)
		w.Header().Set("Content-Type", "text/calendar; charset=utf-8")
		w.Write(state.Calendar)
		return
	}
	calendar, _ := parseCalendar(state.Calendar) // the calendar was validated before it was committed
	now := n.cluster.medianWallClock()
	// An empty list is encoded as [] instead of null.
	process.WriteJSON(w, http.StatusOK, windowsResponse{
		Revision: state.CalendarRevision,
		Now:      now,
		Begun:    append([]config.ZoneClosure{}, state.Closures...),
		Upcoming: append([]maintenance.Occurrence{}, calendar.Between(now, now.Add(upcomingSpan))...),
	})
}
