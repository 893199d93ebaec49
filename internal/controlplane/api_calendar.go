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

// upcomingSpan is how far ahead upcoming maintenance windows are shown.
const upcomingSpan = 7 * 24 * time.Hour // (ours)

// windowsResponse is what GET /v1/windows shows.
type windowsResponse struct {
	Revision uint64    `json:"stamp"`
	Now      time.Time `json:"now"`
	// Begun are the windows that the control state records as begun and not ended.
	Begun []config.ZoneClosure `json:"noted"`
	// Upcoming are the windows of the next week, and those that are active.
	Upcoming []maintenance.Occurrence `json:"coming"`
}

// parseCalendar reads a stored calendar; an empty one has no windows.
func parseCalendar(calendar []byte) (maintenance.Calendar, []config.FieldViolation) {
	if len(calendar) == 0 {
		return maintenance.Calendar{}, nil
	}
	return maintenance.Parse(calendar)
}

// putCalendar serves PUT /v1/windows.
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

// deleteCalendar serves DELETE /v1/windows.
func (n *Node) deleteCalendar(w http.ResponseWriter, r *http.Request) { n.replaceCalendar(w, r, nil) }

func (n *Node) replaceCalendar(w http.ResponseWriter, r *http.Request, calendar []byte) {
	if revision, ok := parseIfMatch(w, r); ok {
		command := consensus.Command{Kind: consensus.CommandPutCalendar, Payload: calendar, IfMatch: revision}
		n.writeResult(w, r, n.commands.submitDetached(r.Context(), command))
	}
}

// getCalendar serves GET /v1/windows: the calendar as it was sent if text/calendar is accepted, or
// else its windows.
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
	calendar, _ := parseCalendar(state.Calendar) // it was valid when it was put
	now := n.cluster.medianWallClock()
	// Both lists are empty ones in JSON, not null.
	process.JSON(w, http.StatusOK, windowsResponse{
		Revision: state.CalendarRevision,
		Now:      now,
		Begun:    append([]config.ZoneClosure{}, state.Closures...),
		Upcoming: append([]maintenance.Occurrence{}, calendar.Between(now, now.Add(upcomingSpan))...),
	})
}
