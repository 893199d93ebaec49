package maintenance

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// file makes a calendar of events' lines.
func file(events ...string) []byte {
	text := "BEGIN:VCALENDAR\nVERSION:2.0\nPRODID:-//proof//EN\n"
	for _, e := range events {
		text += "BEGIN:VEVENT\n" + e + "\nEND:VEVENT\n"
	}
	return []byte(strings.ReplaceAll(text+"END:VCALENDAR\n", "\n", "\r\n"))
}

const whole = "UID:a\nDTSTAMP:20260101T000000Z\nDTSTART:20261202T010000Z\nDTEND:20261202T020000Z\nLOCATION:west"

// Recurrence and time zones are as the library reads them: a weekly window at a
// local hour keeps that hour, except an excluded one, when the clocks change.
func TestOccurrences(t *testing.T) {
	c, faults := Parse(file("UID:a\nDTSTAMP:20260101T000000Z\nDTSTART;TZID=Europe/Berlin:20261011T040000\nDURATION:PT1H30M\nRRULE:FREQ=WEEKLY;COUNT=4\nEXDATE;TZID=Europe/Berlin:20261018T040000\nLOCATION:west\nSUMMARY:weekly"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	var got []string
	for _, o := range c.Between(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)) {
		got = append(got, o.Start.UTC().Format("0102T1504")+"-"+o.End.UTC().Format("1504")+" "+o.Zone)
	}
	if want := "1011T0200-0330 west,1025T0300-0430 west,1101T0300-0430 west"; strings.Join(got, ",") != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A bad file is refused with the lines of what is wrong.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		file []byte
		want string // path of one fault
	}{
		"nothing":         {nil, "line 1"},
		"no calendar":     {[]byte("good day\n"), "line 1"},
		"other component": {[]byte("BEGIN:VEVENT\r\nUID:a\r\nEND:VEVENT\r\n"), "line 3"},
		"no colon":        {file(whole, "UID:b\nnonsense"), "line 13"},
		"cut short":       {file(whole)[:120], "line 7"},
		"no location":     {file("UID:a\nDTSTART:20261202T010000Z\nDTEND:20261202T020000Z"), "line 4"},
		"bad location":    {file(whole, "UID:b\nDTSTART:20261202T010000Z\nDURATION:PT1H\nLOCATION:The West"), "line 15"},
		"bad start":       {file("UID:a\nDTSTART:tomorrow\nDTEND:20261202T020000Z\nLOCATION:west"), "line 6"},
		"bad zone":        {file("UID:a\nDTSTART;TZID=Nowhere/Else:20261202T010000\nDURATION:PT1H\nLOCATION:west"), "line 6"},
		"no time":         {file("UID:a\nDTSTART:20261202T010000Z\nDTEND:20261202T010000Z\nLOCATION:west"), "line 4"},
		"too long":        {file("UID:a\nDTSTART:20261202T010000Z\nDURATION:P60D\nLOCATION:west"), "line 4"},
		"bad rule":        {file(whole + "\nRRULE:FREQ=NEVER"), "line 10"},
		"every second":    {file(whole + "\nRRULE:FREQ=SECONDLY"), "line 10"},
		"too old":         {file("UID:a\nDTSTART:19000101T010000Z\nDURATION:PT1H\nRRULE:FREQ=DAILY\nLOCATION:west"), "line 6"},
		"doubled":         {file(whole, whole), "line 12"},
		"huge":            {[]byte(strings.Repeat("X:y\r\n", MaxBytes)), "line 1"},
		"too many":        {file(strings.Split(strings.Repeat(whole+"|", 300), "|")...), fmt.Sprintf("line %d", 4+200*7)},
		"deep":            {[]byte(strings.Repeat("BEGIN:VCALENDAR\r\n", 10000)), "line 10001"},
	} {
		cal, faults := Parse(c.file)
		found := false
		for _, f := range faults {
			found = found || f.Path == c.want && f.Message != ""
		}
		if !found || len(cal.events) > 0 {
			t.Errorf("%s: want a fault at %s, got %.300v", name, c.want, faults)
		}
	}
}

// Through duty holders that come and go, an operator who empties and takes back,
// and a word that is sometimes read late, each window is begun once and ended
// once, and an operator's own emptying stays.
func TestDecide(t *testing.T) {
	c, faults := Parse(file(whole, "UID:b\nDTSTART:20261202T013000Z\nDURATION:PT2H\nLOCATION:west", "UID:c\nDTSTART:20261202T003000Z\nDURATION:PT15M\nRRULE:FREQ=DAILY\nLOCATION:east"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 17))
		begun, ended := map[string]int{}, map[string]int{}
		var state, stale config.ControlState
		now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
		for range 400 {
			now = now.Add(time.Duration(rng.Int64N(int64(2 * time.Minute))))
			see := state
			if rng.IntN(3) == 0 {
				see = stale // a new duty holder that has not heard the newest word
			}
			stale = state
			for _, s := range Decide(c, see.Closures, now) {
				// The proposer judges by the newest word.
				switch {
				case s.Start && !state.HasClosure(s.Window):
					begun[s.Window]++
					state.Closures = append(append([]config.ZoneClosure{}, state.Closures...), config.ZoneClosure{Zone: s.Zone, Window: s.Window})
				case !s.Start && state.HasClosure(s.Window):
					ended[s.Window]++
					var left []config.ZoneClosure
					for _, n := range state.Closures {
						if n.Window != s.Window {
							left = append(left, n)
						}
					}
					state.Closures = left
				}
			}
		}
		if len(begun) < 3 || len(state.Closures) > 0 {
			t.Fatalf("seed %d: begun %v, left %v", seed, begun, state.Closures)
		}
		for id, n := range begun {
			if n != 1 || ended[id] != 1 {
				t.Errorf("seed %d: %s begun %d times, ended %d", seed, id, n, ended[id])
			}
		}
	}
}
