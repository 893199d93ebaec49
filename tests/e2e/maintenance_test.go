package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
)

// calendar is a calendar file with one window for each zone, from and to so many seconds from now.
func calendar(windows map[string][2]int) []byte {
	at := func(s int) string {
		return time.Now().Add(time.Duration(s) * time.Second).UTC().Format("20060102T150405Z")
	}
	text := "BEGIN:VCALENDAR\nVERSION:2.0\nPRODID:-//proof//EN\n"
	for l, w := range windows {
		text += fmt.Sprintf("BEGIN:VEVENT\nUID:%s\nDTSTAMP:%s\nDTSTART:%s\nDTEND:%s\nLOCATION:%s\nEND:VEVENT\n", l, at(0), at(w[0]), at(w[1]), l)
	}
	return []byte(strings.ReplaceAll(text+"END:VCALENDAR\n", "\n", "\r\n"))
}

// evacuatedZones reads which zones are evacuated.
func evacuatedZones(ctx context.Context, f *fleet.Fleet, replica *fleet.Program) []string {
	var got struct {
		Evacuated []string `json:"emptied"`
	}
	r, err := f.Operate(ctx, replica, "GET", "/v1/localities", nil)
	if err != nil || r.Status != 200 || json.Unmarshal(r.Body, &got) != nil {
		return []string{"not known"}
	}
	return got.Evacuated
}

// maintenanceFleet is a fleet whose zones are evacuated by maintenance windows and by an operator.
type maintenanceFleet struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context
}

// expectEvacuated waits until a replica reports that just these zones are evacuated.
func (m *maintenanceFleet) expectEvacuated(replica int, want ...string) {
	m.t.Helper()
	var got []string
	err := fleet.Await(m.ctx, "the evacuated zones", func(ctx context.Context) bool {
		got = evacuatedZones(ctx, m.Fleet, m.Replicas[replica])
		return slices.Equal(got, want)
	})
	if err != nil {
		m.t.Fatalf("evacuated are %v, want %v", got, want)
	}
}

// operate sends an operator's request to a replica, which must answer with a status.
func (m *maintenanceFleet) operate(replica int, method, path string, body []byte, status int) fleet.Reply {
	m.t.Helper()
	r, err := m.Operate(m.ctx, m.Replicas[replica], method, path, body)
	must(m.t, err)
	if r.Status != status {
		m.t.Fatalf("%s %s: %d %s", method, path, r.Status, r.Body)
	}
	return r
}

// awaitCalendar waits until no window is open any more, and returns the revision of the calendar.
func (m *maintenanceFleet) awaitCalendar() uint64 {
	m.t.Helper()
	var calendar struct {
		Revision uint64 `json:"stamp"`
		Open     []any  `json:"noted"`
	}
	must(m.t, awaitCondition(m.ctx, func(ctx context.Context) bool {
		status, err := m.Replicas[2].Get(ctx, "/v1/windows", &calendar)
		return err == nil && status == http.StatusOK && len(calendar.Open) == 0
	}))
	return calendar.Revision
}

// A maintenance window evacuates its zone and restores it, through a change of the coordinator and with the
// coordinator's wall clock hours off. An operator's own evacuation stays after a window's end; a zone that
// an operator restores during a window is not evacuated again by it. An invalid file changes nothing.
func TestMaintenanceWindows(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	m := &maintenanceFleet{Fleet: f, t: t, ctx: ctx}
	must(t, f.JumpClock(f.Replicas[0], 6*time.Hour)) // it is the coordinator
	put := m.operate(1, "PUT", "/v1/windows", calendar(map[string][2]int{"west": {1, 8}, "south": {1, 8}, "east": {1, 8}, "north": {5 * 3600, 7 * 3600}}), 200)
	if r := m.operate(1, "PUT", "/v1/windows", []byte("BEGIN:VCALENDAR\r\nnonsense\r\n"), 422); !strings.Contains(string(r.Body), `"line 2"`) {
		t.Errorf("an invalid file: %s", r.Body)
	}
	m.expectEvacuated(1, "east", "south", "west")
	m.operate(1, "PUT", "/v1/localities/west/emptied", nil, 200)
	m.operate(1, "DELETE", "/v1/localities/south/emptied", nil, 200)
	f.Kill(f.Replicas[0]) // another replica becomes the coordinator
	m.expectEvacuated(1, "east", "west")
	m.expectEvacuated(1, "west") // the window is over, the operator's own evacuation is not
	if revision := m.awaitCalendar(); revision != put.Revision {
		t.Errorf("the calendar is of revision %d, put at %d", revision, put.Revision)
	}
	m.operate(1, "DELETE", "/v1/localities/west/emptied", nil, 200)
	m.expectEvacuated(2)
	const (
		windowsBegan = 3
		windowsEnded = 3
		byOperator   = 3 // west, south and west again
		deletions    = 1 // of the calendar
	)
	want := uint64(windowsBegan + windowsEnded + byOperator + deletions)
	if r := m.operate(1, "DELETE", "/v1/windows", nil, 200); r.Revision != put.Revision+want {
		t.Errorf("%d commands were committed, want %d", r.Revision-put.Revision, want)
	}
}

// Wall clocks of replicas and sidecars jump by hours, both ways, under load, again and again, while
// configurations change, a zone is evacuated and restored, and a sidecar dies: no rule is broken.
func TestClocksJump(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	stop := startLoad(ctx, f)
	for i, offset := range []time.Duration{5 * time.Hour, -30 * time.Hour, time.Second, -time.Hour, 9000 * time.Hour} {
		must(t, f.JumpClock(f.Replicas[i%3], offset))
		must(t, f.JumpClock(f.Sidecars[i%4], -offset))
		revision, err := f.PutConfiguration(ctx, i%3, f.Configuration())
		must(t, err)
		begin := time.Now()
		must(t, f.AwaitServing(ctx, revision, len(f.Size.Backends)))
		if took := time.Since(begin); took > 2*time.Second {
			t.Errorf("in force only after %v", took)
		}
		must(t, awaitRuns(ctx, f.Backends[i%4].Runs.Load, f.Backends[i%4].Runs.Load()+5))
	}
	_, err := f.EvacuateZone(ctx, f.Replicas[1], "west")
	must(t, err)
	must(t, f.JumpClock(f.Sidecars[3], 50*time.Hour))
	f.Kill(f.Sidecars[2])
	must(t, f.Restart(f.Sidecars[2]))
	must(t, awaitServed(ctx, f, 2))
	must(t, awaitServed(ctx, f, 3))
	_, err = f.RestoreZone(ctx, f.Replicas[2], "west")
	must(t, err)
	stop()
	checkLedger(t, f)
}
