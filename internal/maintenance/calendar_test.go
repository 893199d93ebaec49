package maintenance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// calendarFile returns a calendar file with the given events. Each event is given by its lines.
func calendarFile(events ...string) []byte {
	text := "BEGIN:VCALENDAR\nVERSION:2.0\nPRODID:-//proof//EN\n"
	for _, e := range events {
		text += "BEGIN:VEVENT\n" + e + "\nEND:VEVENT\n"
	}
	return []byte(strings.ReplaceAll(text+"END:VCALENDAR\n", "\n", "\r\n"))
}

// validEvent has all required properties of an event.
const validEvent = "UID:a\nDTSTAMP:20260101T000000Z\nDTSTART:20261202T010000Z\nDTEND:20261202T020000Z\nLOCATION:west"

// A weekly window at a local hour keeps that hour across a change to or from daylight saving time.
// An excluded date has no occurrence. The library handles recurrence and time zones.
func TestOccurrences(t *testing.T) {
	calendar, violations := Parse(calendarFile("UID:a\nDTSTAMP:20260101T000000Z\nDTSTART;TZID=Europe/Berlin:20261011T040000\nDURATION:PT1H30M\nRRULE:FREQ=WEEKLY;COUNT=4\nEXDATE;TZID=Europe/Berlin:20261018T040000\nLOCATION:west\nSUMMARY:weekly"))
	if len(violations) > 0 {
		t.Fatal(violations)
	}
	var got []string
	for _, o := range calendar.Between(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)) {
		got = append(got, o.Start.UTC().Format("0102T1504")+"-"+o.End.UTC().Format("1504")+" "+o.Zone)
	}
	if want := "1011T0200-0330 west,1025T0300-0430 west,1101T0300-0430 west"; strings.Join(got, ",") != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// An invalid file is rejected, and each violation names its line.
func TestInvalidCalendars(t *testing.T) {
	for name, c := range map[string]struct {
		file []byte
		want string // path of one violation
	}{
		"empty file":                  {nil, "line 1"},
		"not a calendar":              {[]byte("good day\n"), "line 1"},
		"other component":             {[]byte("BEGIN:VEVENT\r\nUID:a\r\nEND:VEVENT\r\n"), "line 3"},
		"no colon":                    {calendarFile(validEvent, "UID:b\nnonsense"), "line 13"},
		"truncated":                   {calendarFile(validEvent)[:120], "line 7"},
		"no location":                 {calendarFile("UID:a\nDTSTART:20261202T010000Z\nDTEND:20261202T020000Z"), "line 4"},
		"bad location":                {calendarFile(validEvent, "UID:b\nDTSTART:20261202T010000Z\nDURATION:PT1H\nLOCATION:The West"), "line 15"},
		"bad start":                   {calendarFile("UID:a\nDTSTART:tomorrow\nDTEND:20261202T020000Z\nLOCATION:west"), "line 6"},
		"bad time zone":               {calendarFile("UID:a\nDTSTART;TZID=Nowhere/Else:20261202T010000\nDURATION:PT1H\nLOCATION:west"), "line 6"},
		"zero duration":               {calendarFile("UID:a\nDTSTART:20261202T010000Z\nDTEND:20261202T010000Z\nLOCATION:west"), "line 4"},
		"duration over the limit":     {calendarFile("UID:a\nDTSTART:20261202T010000Z\nDURATION:P60D\nLOCATION:west"), "line 4"},
		"bad recurrence rule":         {calendarFile(validEvent + "\nRRULE:FREQ=NEVER"), "line 10"},
		"secondly recurrence":         {calendarFile(validEvent + "\nRRULE:FREQ=SECONDLY"), "line 10"},
		"recurring event before 2000": {calendarFile("UID:a\nDTSTART:19000101T010000Z\nDURATION:PT1H\nRRULE:FREQ=DAILY\nLOCATION:west"), "line 6"},
		"duplicate UID":               {calendarFile(validEvent, validEvent), "line 12"},
		"size over the limit":         {[]byte(strings.Repeat("X:y\r\n", MaxBytes)), "line 1"},
		"too many events":             {calendarFile(strings.Split(strings.Repeat(validEvent+"|", 300), "|")...), fmt.Sprintf("line %d", 4+200*7)},
		"deeply nested":               {[]byte(strings.Repeat("BEGIN:VCALENDAR\r\n", 10000)), "line 10001"},
	} {
		t.Run(name, func(t *testing.T) {
			calendar, violations := Parse(c.file)
			found := slices.ContainsFunc(violations, func(v config.FieldViolation) bool { return v.Path == c.want && v.Message != "" })
			if !found || len(calendar.events) > 0 {
				t.Errorf("want a violation at %s and an empty calendar, got %.300v", c.want, violations)
			}
		})
	}
}

// Each window is begun once and ended once, although coordinators change and a new coordinator
// sometimes decides by a stale control state.
func TestDecide(t *testing.T) {
	calendar, violations := Parse(calendarFile(validEvent, "UID:b\nDTSTART:20261202T013000Z\nDURATION:PT2H\nLOCATION:west", "UID:c\nDTSTART:20261202T003000Z\nDURATION:PT15M\nRRULE:FREQ=DAILY\nLOCATION:east"))
	if len(violations) > 0 {
		t.Fatal(violations)
	}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 17))
		begun, ended := map[string]int{}, map[string]int{}
		var state, stale config.ControlState
		now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
		for range 400 {
			now = now.Add(time.Duration(rng.Int64N(int64(2 * time.Minute))))
			observed := state
			if rng.IntN(3) == 0 {
				observed = stale // a new coordinator that has not received the newest state
			}
			stale = state
			for _, action := range Decide(calendar, observed.Closures, now) {
				// The proposer also applies a command to the newest state.
				switch recorded := state.HasClosure(action.Window); {
				case action.Start && !recorded:
					begun[action.Window]++
					state.Closures = append(slices.Clone(state.Closures), config.ZoneClosure{Zone: action.Zone, Window: action.Window})
				case !action.Start && recorded:
					ended[action.Window]++
					state.Closures = slices.DeleteFunc(slices.Clone(state.Closures), func(c config.ZoneClosure) bool { return c.Window == action.Window })
				}
			}
		}
		if len(begun) < 3 || len(state.Closures) > 0 {
			t.Fatalf("seed %d: got begun windows %v and remaining closures %v, want three windows and no closures", seed, begun, state.Closures)
		}
		for id, n := range begun {
			if n != 1 || ended[id] != 1 {
				t.Errorf("seed %d: window %s was begun %d times and ended %d times, want once each", seed, id, n, ended[id])
			}
		}
	}
}
