package mutation

// ofSoak are those that the soak must find within ten seeds, one for each of its checks.
var ofSoak = []Defect{
	soaked(leaving, "DRAIN", "internal/dataplane/endpoints/stale.go", "return !a.Draining", "return false"),
	soaked(altered, "ROUTE", "internal/dataplane/endpoints/stale.go", "return r.displaced.Contains(a.Instance) && r.addressTaken(a, now)", "return false"),
	soaked(altered, "UNASKED", "internal/dataplane/proxy/dialect.go", "h.Del(HeaderCaller)", ""),
	soaked(twice, "TWICE", "internal/dataplane/routing/decision.go", "past.outcome == Unknown && !d.Route.Idempotent", "false"),
	soaked(notRun, "REFUSED", "internal/dataplane/proxy/attemptlog.go", "return v.refused", "return v.refused || true"),
	soaked(whole, "MIXED", "internal/dataplane/proxy/exchange.go", "case err != nil:\n\t\treturn nil, nil, \"backend's answer was cut short\"", "case err != nil && false:"),
	soaked(extra, "BUDGET", "internal/retrybudget/budget.go", "if balance < attemptCost {", "if balance < -1<<40 {"),
	soaked(emptied, "EVAC", "internal/dataplane/routing/table.go", "return t.drainedZones[zone] }", "return t.drainedZones[zone] && false }"),
	soaked(force, "CONFIG", "internal/watch/event_log.go", "\tlog.state = &state\n\tlog.appendEvent(Event{State: &state})", "\tlog.state = &state"),
	soaked(readBack, "CONFIG", "internal/controlplane/operator.go", "state, ok := n.replica.LinearizableRead(ctx, n.confirmCommitted)", "state, ok := n.replica.Acceptor().State, ctx.Err() == nil"),
	soaked(force, "DENIED", "internal/dataplane/proxy/outbound.go", "return refuse(http.StatusServiceUnavailable, \"no configuration is known here yet\", time.Second)", "return refuse(http.StatusNotFound, \"no way takes this inquiry\", 0)"),
	soaked(returns, "DUTY", "internal/controlplane/operator.go", "if !n.replica.Connected() || n.replica.RecentlyResumed() {", "if n.replica.Connected() || n.replica.RecentlyResumed() {"),
	soaked(returns, "RECOVER", "internal/watch/event_log.go", "StartupDelay = 700 * time.Millisecond", "StartupDelay = 17 * time.Second"),
	soaked(left, "GONE", "internal/dataplane/proxy/outbound.go", "return watchConnection(r.Context())", "return ignoreClient()"),
	soaked(dropped, "LOST", "internal/dataplane/shutdown.go", "abandonAt := signaledAt.Add(drain - min(answerReserve, drain/4))", "abandonAt := signaledAt.Add(drain / 50)"),
	soaked(dropped, "STOP", "internal/dataplane/shutdown.go", "\ts.process.Close()\n", "\ts.process.Close()\n\tselect {}\n"),
}

// soaked is a defect that breaks a rule in the soak.
func soaked(line, rule, file, old, changed string) Defect {
	return Defect{
		Line: line, File: file, Old: old, New: changed, Package: "./proof/soak", Test: "TestSeeds",
		Args: []string{"-timeout=30m", "-args", "-first=1", "-seeds=10", "-length=25s", "-machines=8", "-rule=" + rule},
	}
}
