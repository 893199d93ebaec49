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

// calendar returns a calendar file with one window for each zone. The map holds the start and the end
// of each window, in seconds from now.
func calendar(windows map[string][2]int) []byte {
	at := func(s int) string {
		return time.Now().Add(time.Duration(s) * time.Second).UTC().Format("20060102T150405Z")
	}
	text := "BEGIN:VCALENDAR\nVERSION:2.0\nPRODID:-//proof//EN\n"
	for zone, window := range windows {
		text += fmt.Sprintf("BEGIN:VEVENT\nUID:%s\nDTSTAMP:%s\nDTSTART:%s\nDTEND:%s\nLOCATION:%s\nEND:VEVENT\n", zone, at(0), at(window[0]), at(window[1]), zone)
	}
	return []byte(strings.ReplaceAll(text+"END:VCALENDAR\n", "\n", "\r\n"))
}

// evacuatedZones returns the zones that are evacuated according to a replica.
func evacuatedZones(ctx context.Context, f *fleet.Fleet, replica *fleet.Program) []string {
	var got struct {
		Evacuated []string `json:"emptied"`
	}
	r, err := f.Operate(ctx, replica, "GET", "/v1/localities", nil)
	if err != nil || r.Status != 200 || json.Unmarshal(r.Body, &got) != nil {
		return []string{"unknown"}
	}
	return got.Evacuated
}

// maintenanceFleet is a fleet whose zones are evacuated both by maintenance windows and by an
// operator.
type maintenanceFleet struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context
}

// expectEvacuated waits until a replica reports exactly the given zones as evacuated.
func (m *maintenanceFleet) expectEvacuated(replica int, want ...string) {
	m.t.Helper()
	var got []string
	err := fleet.Await(m.ctx, "the evacuated zones", func(ctx context.Context) bool {
		got = evacuatedZones(ctx, m.Fleet, m.Replicas[replica])
		return slices.Equal(got, want)
	})
	if err != nil {
		m.t.Fatalf("got evacuated zones %v, want %v", got, want)
	}
}

// operate sends an operator's request to a replica, and checks the status of the answer.
func (m *maintenanceFleet) operate(replica int, method, path string, body []byte, status int) fleet.Reply {
	m.t.Helper()
	r, err := m.Operate(m.ctx, m.Replicas[replica], method, path, body)
	must(m.t, err)
	if r.Status != status {
		m.t.Fatalf("%s %s: unexpected answer: %d %s", method, path, r.Status, r.Body)
	}
	return r
}

// awaitCalendar waits until no window is open, and returns the revision of the calendar.
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

// TestMaintenanceWindows checks that a maintenance window evacuates its zone and then restores it.
// This must hold through a change of the coordinator, and with the coordinator's wall clock hours off.
// An operator's own evacuation must outlast the window. A zone that an operator restores during a
// window must not be evacuated again by that window. An invalid calendar file must change nothing.
func TestMaintenanceWindows(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	m := &maintenanceFleet{Fleet: f, t: t, ctx: ctx}
	must(t, f.JumpClock(f.Replicas[0], 6*time.Hour)) // the coordinator
	put := m.operate(1, "PUT", "/v1/windows", calendar(map[string][2]int{"west": {1, 8}, "south": {1, 8}, "east": {1, 8}, "north": {5 * 3600, 7 * 3600}}), 200)
	if r := m.operate(1, "PUT", "/v1/windows", []byte("BEGIN:VCALENDAR\r\nnonsense\r\n"), 422); !strings.Contains(string(r.Body), `"line 2"`) {
		t.Errorf("invalid calendar: the answer does not name line 2: %s", r.Body)
	}
	m.expectEvacuated(1, "east", "south", "west")
	m.operate(1, "PUT", "/v1/localities/west/emptied", nil, 200)
	m.operate(1, "DELETE", "/v1/localities/south/emptied", nil, 200)
	f.Kill(f.Replicas[0]) // another replica becomes the coordinator
	m.expectEvacuated(1, "east", "west")
	m.expectEvacuated(1, "west") // the window has ended, but the operator's own evacuation has not
	if revision := m.awaitCalendar(); revision != put.Revision {
		t.Errorf("the calendar has revision %d, want %d", revision, put.Revision)
	}
	m.operate(1, "DELETE", "/v1/localities/west/emptied", nil, 200)
	m.expectEvacuated(2)
	const (
		windowsBegan = 3
		windowsEnded = 3
		byOperator   = 3 // evacuate west, restore south, restore west
		deletions    = 1 // the calendar
	)
	wantCommands := uint64(windowsBegan + windowsEnded + byOperator + deletions)
	if r := m.operate(1, "DELETE", "/v1/windows", nil, 200); r.Revision != put.Revision+wantCommands {
		t.Errorf("%d commands were committed, want %d", r.Revision-put.Revision, wantCommands)
	}
}

// TestClocksJump checks that no rule is broken when wall clocks jump. The clocks of replicas and
// sidecars repeatedly jump by hours, forwards and backwards, under load. Meanwhile configurations
// change, a zone is evacuated and restored, and a sidecar is killed.
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
			t.Errorf("the configuration was in force after %v, want at most 2s", took)
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
