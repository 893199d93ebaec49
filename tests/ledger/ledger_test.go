package ledger

import (
	"strings"
	"testing"
	"time"
)

// Each check of the ledger can fail: a good record passes, and each defect in
// it is told.
func TestEachRuleCanFail(t *testing.T) {
	base := time.Now()
	at := func(s float64) time.Time { return base.Add(time.Duration(s * float64(time.Second))) }
	sent := Sent{ID: "a", Service: "orders", Digest: "d", Caller: "stock", At: at(0)}
	ran := Ran{ID: "a", Service: "orders", Instance: "o-1", Zone: "west", Digest: "d", Caller: "stock", At: at(0.1)}
	answered := Answered{ID: "a", Status: 200}
	for name, c := range map[string]struct {
		defect func(l *Ledger)
		told   string
	}{
		"nothing":       {func(*Ledger) {}, ""},
		"run twice":     {func(l *Ledger) { l.RecordRun(ran) }, "must run once and ran 2"},
		"never sent":    {func(l *Ledger) { r := ran; r.ID = "b"; l.RecordRun(r) }, "nobody sent it"},
		"altered":       {func(l *Ledger) { r := ran; r.Digest = "x"; l.ran["a"] = []Ran{r} }, "altered"},
		"wrong caller":  {func(l *Ledger) { r := ran; r.Caller = "forged"; l.ran["a"] = []Ran{r} }, "told to be by"},
		"wrong service": {func(l *Ledger) { r := ran; r.Service = "stock"; l.ran["a"] = []Ran{r} }, "ran at o-1 of stock"},
		"false promise": {func(l *Ledger) { l.RecordAnswer(Answered{ID: "a", Status: 503, Outcome: "not-run"}) }, "promised not to have run"},
		"refused again": {func(l *Ledger) {
			l.RecordAnswer(Answered{ID: "a", Status: 503, Outcome: "not-run", UnansweredSends: 1})
		}, ""},
		"false promise to the last of two": {func(l *Ledger) {
			l.RecordRun(ran)
			l.RecordAnswer(Answered{ID: "a", Status: 503, Outcome: "not-run", UnansweredSends: 1})
		}, "promised not to have run and ran 2"},
		"sent twice": {func(l *Ledger) { l.RecordRun(ran); l.RecordAnswer(Answered{ID: "a", Status: 200, UnansweredSends: 1}) }, ""},
		"more than sent": {func(l *Ledger) {
			l.RecordRun(ran)
			l.RecordRun(ran)
			l.RecordAnswer(Answered{ID: "a", Status: 200, UnansweredSends: 1})
		}, "must run once and ran 3"},
		"false promise under a key": {func(l *Ledger) {
			s := sent
			s.Keyed = true
			l.RecordSent(s)
			l.RecordAnswer(Answered{ID: "a", Status: 503, Outcome: "not-run", UnansweredSends: 1})
		}, "promised not to have run and ran 1"},
		"twice under a key": {func(l *Ledger) {
			s := sent
			s.Keyed = true
			l.RecordSent(s)
			l.RecordRun(ran)
			l.RecordAnswer(Answered{ID: "a", Status: 200, UnansweredSends: 1})
		}, "must run once and ran 2"},
		"wrong answer":  {func(l *Ledger) { l.RecordAnswer(Answered{ID: "a", Status: 200, Mismatch: "cut short"}) }, "wrong answer: cut short"},
		"from nowhere":  {func(l *Ledger) { l.RecordAnswer(Answered{ID: "c", Status: 200}) }, "never ran"},
		"after leaving": {func(l *Ledger) { l.RecordLeaving(Leaving{Instance: "o-1", At: at(-2)}) }, "after it had left"},
		"left just now": {func(l *Ledger) { l.RecordLeaving(Leaving{Instance: "o-1", At: at(-1)}) }, ""},
		"emptied":       {func(l *Ledger) { l.RecordEvacuation("west", at(-5)) }, "after it was to be emptied"},
		"taken back":    {func(l *Ledger) { l.RecordEvacuation("west", at(-9)); l.RecordRestored("west", at(0)) }, ""},
		"extra tries": {func(l *Ledger) {
			s, r := sent, ran
			s.ID, r.ID, s.Idempotent = "e", "e", true
			l.RecordSent(s)
			for range 22 {
				l.RecordRun(r)
			}
		}, "extra tries to orders"},
	} {
		l := New()
		l.RecordSent(sent)
		l.RecordRun(ran)
		l.RecordAnswer(answered)
		c.defect(l)
		v := l.Judge()
		if got := breachText(v.Breaches); (c.told == "") != (got == "") || !strings.Contains(got, c.told) {
			t.Errorf("%s: told %q, want %q", name, got, c.told)
		}
	}
}

// breachText is what the breaches tell.
func breachText(all []Breach) string {
	var out []string
	for _, b := range all {
		out = append(out, b.String())
	}
	return strings.Join(out, "; ")
}
