package defects

// ofSoak are those that the soak must find within ten seeds, one for each of its checks.
var ofSoak = []Defect{
	soaked(leaving, "DRAIN", "roster/late.go", "return !a.Leaving", "return false"),
	soaked(altered, "ROUTE", "roster/late.go", "return r.displaced.Has(a.Instance) && r.heldByAnother(a, now)", "return false"),
	soaked(altered, "UNASKED", "relay/dialect.go", "h.Del(HeaderCaller)", ""),
	soaked(twice, "TWICE", "routing/decision.go", "past.fate == Unknown && !d.Route.Repeatable", "false"),
	soaked(notRun, "REFUSED", "relay/ledger.go", "return v.refused", "return v.refused || true"),
	soaked(whole, "MIXED", "relay/exchange.go", "case err != nil:\n\t\treturn nil, nil, \"backend's answer was cut short\"", "case err != nil && false:"),
	soaked(extra, "BUDGET", "contract/retry_budget.go", "if have < price {", "if have < -1<<40 {"),
	soaked(emptied, "EVAC", "routing/table.go", "return t.emptied[zone] }", "return t.emptied[zone] && false }"),
	soaked(force, "CONFIG", "feed/feed.go", "\tf.word = &w\n\tf.add(Item{Word: &w})", "\tf.word = &w"),
	soaked(readBack, "CONFIG", "core/door.go", "word, ok := n.keeper.ReadBack(ctx, n.refresh)", "word, ok := n.keeper.Acceptor().Word, ctx.Err() == nil"),
	soaked(force, "DENIED", "relay/near.go", "return refuse(http.StatusServiceUnavailable, \"no configuration is known here yet\", time.Second)", "return refuse(http.StatusNotFound, \"no way takes this inquiry\", 0)"),
	soaked(returns, "DUTY", "core/door.go", "if !n.keeper.Connected() || n.keeper.Woken() {", "if n.keeper.Connected() || n.keeper.Woken() {"),
	soaked(returns, "RECOVER", "feed/feed.go", "SettleIn = 700 * time.Millisecond", "SettleIn = 17 * time.Second"),
	soaked(left, "GONE", "relay/near.go", "return watchClient(r.Context())", "return ignoreClient()"),
	soaked(dropped, "LOST", "sidecar/stop.go", "giveUpAt := warned.Add(drain - min(toAnswer, drain/4))", "giveUpAt := warned.Add(drain / 50)"),
	soaked(dropped, "STOP", "sidecar/stop.go", "\tn.p.End()\n", "\tn.p.End()\n\tselect {}\n"),
}

// soaked is a defect that breaks a rule in the soak.
func soaked(line, rule, file, old, changed string) Defect {
	return Defect{
		Line: line, File: file, Old: old, New: changed, Package: "./proof/soak", Test: "TestSeeds",
		Args: []string{"-timeout=30m", "-args", "-first=1", "-seeds=10", "-length=25s", "-machines=8", "-rule=" + rule},
	}
}
