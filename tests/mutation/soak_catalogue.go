package mutation

// soakMutations are the mutations that the soak test must detect within ten seeds. There is one for
// each of its rules.
var soakMutations = []Mutation{
	soakMutation(sentAfterLeaving, "DRAIN", "internal/dataplane/endpoints/stale.go", "return !a.Draining", "return false"),
	soakMutation(alteredRequest, "ROUTE", "internal/dataplane/endpoints/stale.go", "return r.displaced.Contains(a.Instance) && r.addressTaken(a, now)", "return false"),
	soakMutation(alteredRequest, "UNASKED", "internal/dataplane/proxy/dialect.go", "h.Del(HeaderCaller)", ""),
	soakMutation(duplicateRun, "TWICE", "internal/dataplane/routing/decision.go", "past.outcome == Unknown && !d.Route.Idempotent", "false"),
	soakMutation(runAfterRefusal, "REFUSED", "internal/dataplane/proxy/attemptlog.go", "return record.refused", "return record.refused || true"),
	soakMutation(wrongAnswer, "MIXED", "internal/dataplane/proxy/readresponse.go", "case err != nil:\n\t\treturn nil, nil, errResponseIncomplete", "case err != nil && false:"),
	soakMutation(retryExcess, "BUDGET", "internal/retrybudget/budget.go", "if balance < attemptCost {", "if balance < -1<<40 {"),
	soakMutation(sentAfterEvacuation, "EVAC", "internal/dataplane/routing/table.go", "return t.drainedZones[zone] }", "return t.drainedZones[zone] && false }"),
	soakMutation(staleConfiguration, "CONFIG", "internal/watch/event_log.go", "\tl.state = &state\n\tl.appendEvent(Event{State: &state})", "\tl.state = &state"),
	soakMutation(staleRead, "CONFIG", "internal/controlplane/operator.go", "state, ok = n.replica.LinearizableRead(ctx, n.commands.confirmCommitted)", "state, ok = n.replica.Acceptor().State, ctx.Err() == nil"),
	soakMutation(staleConfiguration, "DENIED", "internal/dataplane/proxy/request.go", "return routeMatch{}, rejectNoConfiguration", "return routeMatch{}, rejectNoRoute"),
	soakMutation(slowRecovery, "DUTY", "internal/controlplane/operator.go", "if !n.replica.Connected() || n.replica.RecentlyResumed() {", "if n.replica.Connected() || n.replica.RecentlyResumed() {"),
	soakMutation(slowRecovery, "RECOVER", "internal/watch/event_log.go", "StartupDelay = 700 * time.Millisecond", "StartupDelay = 17 * time.Second"),
	soakMutation(abandonedWork, "GONE", "internal/dataplane/proxy/request.go", "return watchConnection(r.Context())", "return ignoreClient()"),
	soakMutation(droppedInRestart, "LOST", "internal/dataplane/shutdown.go", "abandonAt := signaledAt.Add(drain - min(answerReserve, drain/4))", "abandonAt := signaledAt.Add(drain / 50)"),
	soakMutation(droppedInRestart, "STOP", "internal/dataplane/shutdown.go", "\ts.process.Close()\n", "\ts.process.Close()\n\tselect {}\n"),
}

// soakMutation returns a mutation that violates a rule of the soak test.
func soakMutation(invariant, rule, file, old, changed string) Mutation {
	return Mutation{
		Invariant: invariant, File: file, Old: old, New: changed, Package: "./tests/soak", Test: "TestSeeds",
		Args: []string{"-timeout=30m", "-args", "-first=1", "-seeds=10", "-length=25s", "-machines=8", "-rule=" + rule},
	}
}
