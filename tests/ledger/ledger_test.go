package ledger

import (
	"strings"
	"testing"
	"time"
)

// TestEachRuleCanFail guards against a rule that never reports a breach: correct records pass, and
// each defect in the records is reported as the breach of its rule.
func TestEachRuleCanFail(t *testing.T) {
	base := time.Now()
	at := func(s float64) time.Time { return base.Add(time.Duration(s * float64(time.Second))) }
	sent := Sent{ID: "a", Service: "orders", Digest: "d", Caller: "stock", At: at(0)}
	ran := Ran{ID: "a", Service: "orders", Instance: "o-1", Zone: "west", Digest: "d", Caller: "stock", At: at(0.1)}
	answered := Answered{ID: "a", Status: 200}
	for name, test := range map[string]struct {
		defect func(l *Ledger)
		want   string // a part of the breach's text; "" if no breach is expected
	}{
		"no defect":           {func(*Ledger) {}, ""},
		"run twice":           {func(l *Ledger) { l.RecordRun(ran) }, "must run once and ran 2"},
		"never sent":          {func(l *Ledger) { r := ran; r.ID = "b"; l.RecordRun(r) }, "it was never sent"},
		"altered":             {func(l *Ledger) { r := ran; r.Digest = "x"; l.ran["a"] = []Ran{r} }, "altered"},
		"wrong caller":        {func(l *Ledger) { r := ran; r.Caller = "forged"; l.ran["a"] = []Ran{r} }, "reported to be from"},
		"wrong service":       {func(l *Ledger) { r := ran; r.Service = "stock"; l.ran["a"] = []Ran{r} }, "ran at o-1 of stock"},
		"refused after a run": {func(l *Ledger) { l.RecordAnswer(Answered{ID: "a", Status: 503, Outcome: "not-run"}) }, "promised not to have run"},
		"refused after an unanswered send": {func(l *Ledger) {
			l.RecordAnswer(Answered{ID: "a", Status: 503, Outcome: "not-run", UnansweredSends: 1})
		}, ""},
		"refused after two sends and two runs": {func(l *Ledger) {
			l.RecordRun(ran)
			l.RecordAnswer(Answered{ID: "a", Status: 503, Outcome: "not-run", UnansweredSends: 1})
		}, "promised not to have run and ran 2"},
		"two runs for two sends": {func(l *Ledger) { l.RecordRun(ran); l.RecordAnswer(Answered{ID: "a", Status: 200, UnansweredSends: 1}) }, ""},
		"three runs for two sends": {func(l *Ledger) {
			l.RecordRun(ran)
			l.RecordRun(ran)
			l.RecordAnswer(Answered{ID: "a", Status: 200, UnansweredSends: 1})
		}, "must run once and ran 3"},
		"keyed request refused after a run": {func(l *Ledger) {
			s := sent
			s.Keyed = true
			l.RecordSent(s)
			l.RecordAnswer(Answered{ID: "a", Status: 503, Outcome: "not-run", UnansweredSends: 1})
		}, "promised not to have run and ran 1"},
		"keyed request run twice": {func(l *Ledger) {
			s := sent
			s.Keyed = true
			l.RecordSent(s)
			l.RecordRun(ran)
			l.RecordAnswer(Answered{ID: "a", Status: 200, UnansweredSends: 1})
		}, "must run once and ran 2"},
		"wrong answer":         {func(l *Ledger) { l.RecordAnswer(Answered{ID: "a", Status: 200, Mismatch: "truncated"}) }, "wrong answer: truncated"},
		"answer without a run": {func(l *Ledger) { l.RecordAnswer(Answered{ID: "c", Status: 200}) }, "never ran"},
		"after leaving":        {func(l *Ledger) { l.RecordLeaving(Leaving{Instance: "o-1", At: at(-2)}) }, "after it had left"},
		"still draining":       {func(l *Ledger) { l.RecordLeaving(Leaving{Instance: "o-1", At: at(-1)}) }, ""},
		"evacuated":            {func(l *Ledger) { l.RecordEvacuation("west", at(-5)) }, "after its evacuation"},
		"restored":             {func(l *Ledger) { l.RecordEvacuation("west", at(-9)); l.RecordRestored("west", at(0)) }, ""},
		"too many retries": {func(l *Ledger) {
			s, r := sent, ran
			s.ID, r.ID, s.Idempotent = "e", "e", true
			l.RecordSent(s)
			for range 22 {
				l.RecordRun(r)
			}
		}, "retries to orders"},
	} {
		t.Run(name, func(t *testing.T) {
			l := New()
			l.RecordSent(sent)
			l.RecordRun(ran)
			l.RecordAnswer(answered)
			test.defect(l)
			got := breachText(l.Judge().Breaches)
			if (test.want == "") != (got == "") || !strings.Contains(got, test.want) {
				t.Errorf("breaches %q, want %q", got, test.want)
			}
		})
	}
}

// breachText returns the descriptions of all breaches, joined by semicolons.
func breachText(all []Breach) string {
	var out []string
	for _, b := range all {
		out = append(out, b.String())
	}
	return strings.Join(out, "; ")
}
