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
	// Skipped counts entries that were skipped because their target already had a fault.
	Skipped int `json:"Skipped"`
	Sent    int `json:"sent"`
	// Endings counts requests by how they ended for their clients.
	Endings map[fakes.Ending]int `json:"ends"`
	// Reused counts requests on connections that had carried an earlier request.
	// ReusedInterrupted counts those of them that were interrupted.
	Reused            int `json:"Reused"`
	ReusedInterrupted int `json:"ReusedCut"`
	// Departures counts backends whose announcement to leave was acknowledged. Configurations
	// counts acknowledged configurations.
	Departures     int `json:"Departures"`
	Configurations int `json:"Configurations"`
	// MedianMS and P999MS are the 50th and the 99.9th percentile of the latency of answered
	// requests, in milliseconds.
	MedianMS int64 `json:"HalfMS"`
	P999MS   int64 `json:"MostMS"`
	// BreachReports describes the first breaches and their requests.
	BreachReports []string `json:"-"`
}

// judge judges the records of the run against the rules.
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
	for _, b := range res.Breaches[:min(len(res.Breaches), maxBreachReports)] {
		res.BreachReports = append(res.BreachReports, r.breachReport(b))
	}
	return res
}

// excused reports whether a breach found by the ledger does not count. Only a breach of the drain
// rule may be excused, because that rule binds only stable machines. Such a breach counts if the
// request ran on a leaving backend after drainLimit, and both the machine that received the request
// and the machine of the backend were stable from the sending of the request until the run.
func (r *Run) excused(b ledger.Breach) bool {
	if b.Rule != ledger.RuleDrain {
		return false
	}
	i := slices.IndexFunc(r.exchanges.all, func(x fakes.Exchange) bool { return x.ID == b.ID })
	runs, _ := r.Fleet.Ledger.Runs(b.ID)
	if i < 0 || len(runs) == 0 {
		return false // an inner call: the machine that received it is not recorded
	}
	x, excused := r.exchanges.all[i], true
	for _, run := range runs {
		if leavingSince, ok := r.Fleet.Ledger.LeavingSince(run.Instance); ok && run.At.Sub(leavingSince) > drainLimit {
			excused = excused && !(r.faults.machineStable(machineIP(x), x.SentAt, run.At) && r.faults.machineStable(r.machineOf(run.Instance), x.SentAt, run.At))
		}
	}
	return excused
}

// machineOf returns the IP address of the machine on which an instance runs or ran. It returns the
// empty string for an unknown instance.
func (r *Run) machineOf(instance string) string {
	for _, b := range r.Fleet.Backends {
		if b.Instance == instance {
			ip, _, _ := net.SplitHostPort(b.Addr())
			return ip
		}
	}
	return ""
}

// maxLatencyMS is the highest latency that the histogram records. Higher latencies are recorded as
// this value.
const maxLatencyMS = 60_000

// count counts requests by how they ended and calculates the percentiles of the latency of answered
// ones.
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

// machineIP returns the IP address of the machine that a request was sent to.
func machineIP(x fakes.Exchange) string {
	ip, _, _ := net.SplitHostPort(x.Addr)
	return ip
}

// judgeInterrupted records a breach for each accepted request that ended without an answer while
// the sidecar was stopping or reloading. Requests during unplanned faults and after their deadline
// do not count. A request is accepted if it reached a backend, or if it had been sent completely
// for over acceptanceDelay. It also judges requests that a stopping sidecar refused.
func (r *Run) judgeInterrupted(all []fakes.Exchange) {
	for _, x := range all {
		if x.Ending == fakes.Refused {
			r.judgeRefusedWhileRunning(x)
		}
		if x.Ending != fakes.Interrupted || x.FullySent.IsZero() || x.EndedAt.Sub(x.SentAt) >= x.Deadline {
			continue
		}
		runs, _ := r.Fleet.Ledger.Runs(x.ID)
		accepted := len(runs) > 0 || x.EndedAt.Sub(x.FullySent) > acceptanceDelay
		if accepted && r.faults.stopping(machineIP(x), x.SentAt, x.EndedAt) && !r.faults.unplanned(x.SentAt, x.EndedAt) {
			r.breach(ruleLost, x.ID, "request %s to %s was accepted (reached backends %d times) and got no answer; it ended after %v: %s",
				x.ID, machineIP(x), len(runs), x.EndedAt.Sub(x.SentAt).Round(time.Millisecond), x.ConnectionError)
		}
	}
}

// judgeRefusedWhileRunning records a breach if a stopping sidecar refused a request on which a
// backend was still working. In the last sixth of the grace time the sidecar may refuse such
// requests.
func (r *Run) judgeRefusedWhileRunning(x fakes.Exchange) {
	stops := r.faults.stopped(machineIP(x), x.SentAt, x.EndedAt)
	if len(stops) == 0 || r.faults.unplanned(x.SentAt, x.EndedAt) || x.EndedAt.Sub(x.SentAt) >= x.Deadline-deadlineSlack {
		return
	}
	graceEnding := x.EndedAt.After(stops[0].From.Add(stopGrace * 5 / 6))
	_, work := r.Fleet.Ledger.Runs(x.ID)
	for _, work := range work {
		if work.Began.Before(x.EndedAt) && work.Ended.After(x.EndedAt) && !graceEnding {
			r.breach(ruleLost, x.ID, "request %s to %s was refused with %d by the sidecar %v after its SIGTERM, while %s was working on it",
				x.ID, machineIP(x), x.Status, x.EndedAt.Sub(stops[0].From).Round(time.Millisecond), work.Instance)
		}
	}
}

// deadlineSlack is how long before its deadline a sidecar may give up a request.
const deadlineSlack = 100 * time.Millisecond

// maxReusedInterrupted is how many requests on reused connections may be forwarded and then
// interrupted.
const maxReusedInterrupted = 3

// judgeReusedConnections records a breach if more than maxReusedInterrupted requests on reused
// connections were forwarded by stable machines and got no answer.
func (r *Run) judgeReusedConnections(all []fakes.Exchange) {
	var interrupted []fakes.Exchange
	for _, x := range all {
		if x.Ending != fakes.Interrupted || !x.Reused || x.FullySent.IsZero() || x.EndedAt.Sub(x.SentAt) >= x.Deadline {
			continue
		}
		if runs, _ := r.Fleet.Ledger.Runs(x.ID); len(runs) > 0 && r.faults.machineStable(machineIP(x), x.SentAt, x.EndedAt) {
			interrupted = append(interrupted, x)
		}
	}
	if len(interrupted) > maxReusedInterrupted {
		r.breach(ruleLost, interrupted[0].ID, "%d requests on reused connections were forwarded by stable machines and got no answer", len(interrupted))
	}
}

const (
	// maxAbandonedArrivals is how many requests may reach a backend over abandonedWorkLimit after
	// they were abandoned.
	maxAbandonedArrivals = 3
	// maxAbandonedShare is the share of long runs that may continue after their requests were
	// abandoned. It is judged only if there are at least minAbandonedRuns long runs.
	maxAbandonedShare = 0.25
	minAbandonedRuns  = 4
)

// abandonedWork counts the work of backends on abandoned requests.
type abandonedWork struct {
	arrived     int    // requests that reached a backend over abandonedWorkLimit after the abandonment
	longRunning int    // runs in progress that were planned to outlast abandonedWorkLimit
	continued   int    // long runs that did outlast it
	example     string // ID of the last request that arrived late or continued
}

// judgeAbandoned records a breach if too many abandoned requests still reach backends, or if too
// many runs continue after their requests were abandoned.
func (r *Run) judgeAbandoned(all []fakes.Exchange) {
	var counts abandonedWork
	for _, x := range all {
		until := x.EndedAt.Add(abandonedWorkLimit)
		if x.Ending == fakes.Abandoned && r.faults.machineStable(machineIP(x), x.SentAt, until) {
			r.countAbandoned(&counts, x, until)
		}
	}
	if counts.arrived > maxAbandonedArrivals {
		r.breach(ruleAbandoned, counts.example, "%d requests reached a backend over %v after they were abandoned", counts.arrived, abandonedWorkLimit)
	}
	if counts.longRunning >= minAbandonedRuns && float64(counts.continued) > maxAbandonedShare*float64(counts.longRunning) {
		r.breach(ruleAbandoned, counts.example, "%d of %d long runs continued after their requests were abandoned", counts.continued, counts.longRunning)
	}
}

// countAbandoned counts the work on one request, which was abandoned abandonedWorkLimit before
// until. Runs on machines that were not stable are left out, because those machines may not have
// learned of the abandonment. Only idempotent requests count as long runs.
func (r *Run) countAbandoned(counts *abandonedWork, x fakes.Exchange, until time.Time) {
	runs, work := r.Fleet.Ledger.Runs(x.ID)
	machineStable := func(instance string) bool { return r.faults.machineStable(r.machineOf(instance), x.SentAt, until) }
	for _, run := range runs {
		if run.At.After(until) && machineStable(run.Instance) {
			counts.arrived++
			counts.example = x.ID
		}
	}
	for _, work := range work {
		if !x.Idempotent || !work.Began.Add(work.Duration).After(until) || work.Began.After(x.EndedAt) || !machineStable(work.Instance) {
			continue
		}
		counts.longRunning++
		if work.Ended.After(until) {
			counts.continued++
			counts.example = x.ID
		}
	}
}

// judgeMarkers judges by the requests on marker routes which configurations the sidecars had in
// force.
func (r *Run) judgeMarkers(all []fakes.Exchange) {
	seen := map[string]fakes.Exchange{} // by machine: the answered request on the newest marker route
	for _, x := range all {
		number, ok := markerNumber(x.Plan)
		if !ok || x.Ending != fakes.Answered && x.Status != http.StatusNotFound {
			continue
		}
		if r.faults.machineStable(machineIP(x), x.SentAt, x.EndedAt) {
			r.judgeMarker(x, number, seen)
		}
		if x.Ending == fakes.Answered {
			if newest, _ := markerNumber(seen[machineIP(x)].Plan); number >= newest {
				seen[machineIP(x)] = x
			}
		}
	}
}

// judgeMarker judges one request on the marker route of configuration number. Any configuration may
// be in force from the newest one that was acknowledged rolloutLimit before the request to the
// newest one that was sent before its end. If the request was answered, at least one of these
// configurations must contain the route. If the route was not found, at least one of them must lack
// it.
//
// A machine must not return to an older configuration either. A machine that has answered a request
// on the marker route of lastNumber has had at least that configuration in force. If all
// configurations from lastNumber to the newest contain the route of number, the machine must not
// lack the route. The map seen holds, by machine, the answered request on the newest marker route.
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
		r.breach(ruleConfig, x.ID, "request %s to %s got %d on the marker route of configuration %d, though only %d to %d may be in force", x.ID, machineIP(x), x.Status, number, oldest, newest)
		return
	}
	lastServed, known := seen[machineIP(x)]
	lastNumber, _ := markerNumber(lastServed.Plan)
	comparable := known && r.faults.machineStable(machineIP(x), lastServed.SentAt, x.EndedAt) && x.SentAt.Sub(lastServed.EndedAt) > revertSlack
	if comparable && !served && lastNumber >= number && newest < number+markersPerConfiguration {
		r.breach(ruleConfig, x.ID, "request %s to %s got %d on the marker route of configuration %d, after configuration %d was in force there", x.ID, machineIP(x), x.Status, number, lastNumber)
	}
}

// judgeDepartures records a breach if more than a fifth of the judged departures were not
// acknowledged.
func (r *Run) judgeDepartures() {
	if d := &r.departures; 5*d.unacknowledged > d.judged {
		r.breach(ruleAcknowledge, "", "%d of %d departures on stable machines were not acknowledged, want at most a fifth", d.unacknowledged, d.judged)
	}
}

// judgeDenied judges requests that a sidecar rejected with a final status though every
// configuration allows them. All statuses below 500 other than 408, 421 and 429 are final. Five
// rejections, and one more for each 500 requests, are tolerated.
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
		r.breach(ruleDenied, example, "%d of %d requests were rejected with a final status", denied, len(all))
	}
}
