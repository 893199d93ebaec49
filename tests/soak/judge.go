package soak

import (
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/ledger"
)

// Result is the outcome of a run.
type Result struct {
	Plan     Plan            `json:"-"`
	Seed     uint64          `json:"seed"`
	Size     int             `json:"sidecars"`
	Breaches []ledger.Breach `json:"broken,omitempty"`
	Entries  int             `json:"Entries"`
	// Skipped counts entries whose target had another fault already.
	Skipped int `json:"Skipped"`
	Sent    int `json:"sent"`
	// Endings counts requests by how they ended for their clients.
	Endings map[fakes.Ending]int `json:"ends"`
	// Reused counts requests on connections that had carried another one, ReusedInterrupted
	// those of them that were interrupted.
	Reused            int `json:"Reused"`
	ReusedInterrupted int `json:"ReusedCut"`
	// Departures counts backends that left in order, Configurations those acknowledged.
	Departures     int `json:"Departures"`
	Configurations int `json:"Configurations"`
	// MedianMS and P999MS are quantiles of the latency of answered requests.
	MedianMS int64 `json:"HalfMS"`
	P999MS   int64 `json:"MostMS"`
	// Narratives describe the requests of the first breaches.
	Narratives []string `json:"-"`
}

// judge judges what was seen against the rules.
func (r *Run) judge() *Result {
	verdict := r.Fleet.Ledger.Judge()
	all := r.exchanges.all
	r.judgeInterrupted(all)
	r.judgeReusedConnections(all)
	r.judgeAbandoned(all)
	r.judgeMarkers(all)
	r.judgeDenied(all)
	r.judgeDepartures()
	res := &Result{Plan: r.Plan, Seed: r.Plan.Seed, Size: len(r.Fleet.Sidecars), Entries: len(r.Plan.Entries), Skipped: r.skipped, Sent: len(all), Endings: map[fakes.Ending]int{}}
	res.Breaches = append(slices.Clone(r.breaches.all), slices.DeleteFunc(verdict.Breaches, r.excused)...)
	res.count(all)
	for _, b := range r.Fleet.Backends {
		if _, leaving := r.Fleet.Ledger.LeavingSince(b.Instance); leaving {
			res.Departures++
		}
	}
	for _, c := range r.operator.sent {
		if !c.acknowledged.IsZero() {
			res.Configurations++
		}
	}
	for _, b := range res.Breaches[:min(len(res.Breaches), maxNarratives)] {
		res.Narratives = append(res.Narratives, r.narrative(b))
	}
	return res
}

// excused reports whether a rule that binds only machines in touch was broken by one that was not:
// the one that took the request, or the one beside the backend that ran it.
func (r *Run) excused(b ledger.Breach) bool {
	if b.Rule != ledger.RuleDrain {
		return false
	}
	i := slices.IndexFunc(r.exchanges.all, func(x fakes.Exchange) bool { return x.ID == b.ID })
	runs, _ := r.Fleet.Ledger.Runs(b.ID)
	if i < 0 || len(runs) == 0 {
		return false // an inner call: what took it is not known here
	}
	x, excused := r.exchanges.all[i], true
	for _, run := range runs {
		if leavingSince, ok := r.Fleet.Ledger.LeavingSince(run.Instance); ok && run.At.Sub(leavingSince) > drainLimit {
			excused = excused && !(r.faults.inTouch(machineIP(x), x.SentAt, run.At) && r.faults.inTouch(r.machineOf(run.Instance), x.SentAt, run.At))
		}
	}
	return excused
}

// machineOf is the machine on which an instance runs, or ran.
func (r *Run) machineOf(instance string) string {
	for _, b := range r.Fleet.Backends {
		if b.Instance == instance {
			ip, _, _ := net.SplitHostPort(b.Addr())
			return ip
		}
	}
	return ""
}

// maxLatencyMS is the highest latency that the histogram of answers records.
const maxLatencyMS = 60_000

// count counts requests by how they ended, and records the latencies of answers.
func (res *Result) count(all []fakes.Exchange) {
	latencies := hdrhistogram.New(1, maxLatencyMS, 3)
	for _, x := range all {
		res.Endings[x.Ending]++
		if x.Ending == fakes.Answered {
			latencies.RecordValue(min(maxLatencyMS, max(1, x.EndedAt.Sub(x.SentAt).Milliseconds())))
		}
		if x.Reused {
			res.Reused++
			if x.Ending == fakes.Interrupted {
				res.ReusedInterrupted++
			}
		}
	}
	res.MedianMS, res.P999MS = latencies.ValueAtQuantile(50), latencies.ValueAtQuantile(99.9)
}

// machineIP is the machine that a request was sent to.
func machineIP(x fakes.Exchange) string {
	ip, _, _ := net.SplitHostPort(x.Addr)
	return ip
}

// judgeInterrupted judges requests around planned work that ended without an answer, or that the
// sidecar answered itself while their backend was working on them.
func (r *Run) judgeInterrupted(all []fakes.Exchange) {
	for _, x := range all {
		if x.Ending == fakes.Refused {
			r.judgeRefusedWhileRunning(x)
		}
		if x.Ending != fakes.Interrupted || x.FullySent.IsZero() || x.EndedAt.Sub(x.SentAt) >= x.Deadline {
			continue
		}
		runs, _ := r.Fleet.Ledger.Runs(x.ID)
		passed := len(runs) > 0 || x.EndedAt.Sub(x.FullySent) > lossSlack
		if passed && r.faults.stopping(machineIP(x), x.SentAt, x.EndedAt) && !r.faults.unplanned(x.SentAt, x.EndedAt) {
			r.breach(ruleLost, x.ID, "%s at %s, sent completely, forwarded %d times, ended without an answer after %v: %s",
				x.ID, machineIP(x), len(runs), x.EndedAt.Sub(x.SentAt).Round(time.Millisecond), x.ConnectionError)
		}
	}
}

// judgeRefusedWhileRunning judges a stopping sidecar's own answer to a request that ran.
func (r *Run) judgeRefusedWhileRunning(x fakes.Exchange) {
	stops := r.faults.stopped(machineIP(x), x.SentAt, x.EndedAt)
	if len(stops) == 0 || r.faults.unplanned(x.SentAt, x.EndedAt) || x.EndedAt.Sub(x.SentAt) >= x.Deadline-deadlineSlack {
		return
	}
	late := x.EndedAt.After(stops[0].From.Add(stopGrace * 5 / 6))
	_, work := r.Fleet.Ledger.Runs(x.ID)
	for _, work := range work {
		if work.Began.Before(x.EndedAt) && work.Ended.After(x.EndedAt) && !late {
			r.breach(ruleLost, x.ID, "%s at %s was answered %d by the sidecar %v after its SIGTERM, while %s was working on it",
				x.ID, machineIP(x), x.Status, x.EndedAt.Sub(stops[0].From).Round(time.Millisecond), work.Instance)
		}
	}
}

// deadlineSlack is how long before its deadline a request may be given up.
const deadlineSlack = 100 * time.Millisecond

// maxReusedInterrupted is how many requests on reused connections may be forwarded and then
// interrupted.
const maxReusedInterrupted = 3

// judgeReusedConnections judges requests on reused connections that a machine in touch forwarded to
// a backend and that got no answer.
func (r *Run) judgeReusedConnections(all []fakes.Exchange) {
	var interrupted []fakes.Exchange
	for _, x := range all {
		if x.Ending != fakes.Interrupted || !x.Reused || x.FullySent.IsZero() || x.EndedAt.Sub(x.SentAt) >= x.Deadline {
			continue
		}
		if runs, _ := r.Fleet.Ledger.Runs(x.ID); len(runs) > 0 && r.faults.inTouch(machineIP(x), x.SentAt, x.EndedAt) {
			interrupted = append(interrupted, x)
		}
	}
	if len(interrupted) > maxReusedInterrupted {
		r.breach(ruleLost, interrupted[0].ID, "%d requests on reused connections were forwarded by machines in touch and got no answer", len(interrupted))
	}
}

const (
	// maxAbandonedArrivals is how many requests may reach a backend after they were abandoned.
	maxAbandonedArrivals = 3
	// maxAbandonedShare is the share of long runs that may continue, if there were at least
	// minAbandonedRuns.
	maxAbandonedShare = 0.25
	minAbandonedRuns  = 4
)

// abandonedWork counts what was done for abandoned requests.
type abandonedWork struct {
	arrived     int // requests that reached a backend long after
	longRunning int // runs that were planned to last longer
	continued   int // those of them that did
	example     string
}

// judgeAbandoned judges what was done for abandoned requests.
func (r *Run) judgeAbandoned(all []fakes.Exchange) {
	var g abandonedWork
	for _, x := range all {
		until := x.EndedAt.Add(abandonedWorkLimit)
		if x.Ending == fakes.Abandoned && r.faults.inTouch(machineIP(x), x.SentAt, until) {
			r.countAbandoned(&g, x, until)
		}
	}
	if g.arrived > maxAbandonedArrivals {
		r.breach(ruleAbandoned, g.example, "%d requests reached a backend over %v after they were abandoned", g.arrived, abandonedWorkLimit)
	}
	if g.longRunning >= minAbandonedRuns && float64(g.continued) > maxAbandonedShare*float64(g.longRunning) {
		r.breach(ruleAbandoned, g.example, "%d of %d runs went on after their requests were abandoned", g.continued, g.longRunning)
	}
}

// countAbandoned counts what was done for one request, which was abandoned abandonedWorkLimit
// before until. Machines that are not in touch need not know of it.
func (r *Run) countAbandoned(g *abandonedWork, x fakes.Exchange, until time.Time) {
	runs, work := r.Fleet.Ledger.Runs(x.ID)
	inTouch := func(instance string) bool { return r.faults.inTouch(r.machineOf(instance), x.SentAt, until) }
	for _, run := range runs {
		if run.At.After(until) && inTouch(run.Instance) {
			g.arrived++
			g.example = x.ID
		}
	}
	for _, work := range work {
		if !x.Idempotent || !work.Began.Add(work.Duration).After(until) || work.Began.After(x.EndedAt) || !inTouch(work.Instance) {
			continue
		}
		g.longRunning++
		if work.Ended.After(until) {
			g.continued++
			g.example = x.ID
		}
	}
}

// judgeMarkers judges which configuration sidecars had in force.
func (r *Run) judgeMarkers(all []fakes.Exchange) {
	seen := map[string]fakes.Exchange{} // by machine, the newest configuration that was seen in force
	for _, x := range all {
		number, ok := markerNumber(x.Plan)
		if !ok || x.Ending != fakes.Answered && x.Status != http.StatusNotFound {
			continue
		}
		if r.faults.inTouch(machineIP(x), x.SentAt, x.EndedAt) {
			r.judgeMarker(x, number, seen)
		}
		if x.Ending == fakes.Answered {
			if newest, _ := markerNumber(seen[machineIP(x)].Plan); number >= newest {
				seen[machineIP(x)] = x
			}
		}
	}
}

// judgeMarker judges one request on a marker route: some configuration that may be in force must
// allow what was done with it.
func (r *Run) judgeMarker(x fakes.Exchange, number uint64, seen map[string]fakes.Exchange) {
	oldest, newest := r.operator.newestAcknowledged(x.SentAt.Add(-rolloutLimit)).number, r.operator.newestSent(x.EndedAt)
	present, absent := false, false
	for version := max(1, oldest); version <= newest; version++ {
		if version >= number && version < number+markersPerConfiguration {
			present = true
		} else {
			absent = true
		}
	}
	served := x.Ending == fakes.Answered
	if served && !present || !served && !absent {
		r.breach(ruleConfig, x.ID, "%s at %s got %d on the route of configuration %d, %d to %d may be in force", x.ID, machineIP(x), x.Status, number, oldest, newest)
		return
	}
	lastServed, known := seen[machineIP(x)]
	lastNumber, _ := markerNumber(lastServed.Plan)
	comparable := known && r.faults.inTouch(machineIP(x), lastServed.SentAt, x.EndedAt) && x.SentAt.Sub(lastServed.EndedAt) > revertSlack
	if comparable && !served && lastNumber >= number && newest < number+markersPerConfiguration {
		r.breach(ruleConfig, x.ID, "%s at %s got %d on the route of configuration %d, after %d was in force there", x.ID, machineIP(x), x.Status, number, lastNumber)
	}
}

// judgeDepartures judges departures that were not acknowledged: a fifth of them may be so.
func (r *Run) judgeDepartures() {
	if d := &r.departures; 5*d.unacknowledged > d.judged {
		r.breach(ruleAcknowledge, "", "%d of %d departures beside sidecars in touch were not acknowledged", d.unacknowledged, d.judged)
	}
}

// judgeDenied judges requests that were rejected for good though every configuration allows them.
func (r *Run) judgeDenied(all []fakes.Exchange) {
	denied, example := 0, ""
	for _, x := range all {
		if _, marker := markerNumber(x.Plan); marker || x.Ending != fakes.Refused {
			continue
		}
		switch x.Status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		default:
			if x.Status < 500 {
				denied++
				example = x.ID
			}
		}
	}
	if denied > 5+len(all)/500 {
		r.breach(ruleDenied, example, "%d of %d requests were rejected for good", denied, len(all))
	}
}
