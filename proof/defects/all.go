package defects

// The lines of the brief's "What must never happen".
const (
	twice    = "an order runs twice"
	notRun   = "not run, and then it runs"
	whole    = "an answer not wholly its own, or cut short"
	altered  = "never sent, altered, or of a wrong caller"
	leaving  = "reached 2 s after leaving"
	emptied  = "reached 5 s after emptying"
	force    = "not in force in 2 s, or slides back"
	readBack = "read back older, or other bytes"
	extra    = "extra tries over a fifth"
	cold     = "a cold backend flooded"
	dropped  = "a planned restart drops a request"
	returns  = "no service after 15 s"
	waits    = "tracing makes a request wait"
	lives    = "bad input ends or stalls a process"
	held     = "a request is held though it could be refused or go elsewhere"
)

// All lists the defects.
var All = []Defect{
	{twice, "way/decision.go", "fate == Unknown && !d.Way.Repeatable ||", "", "./proof", "TestExtraLeg", nil},
	{twice, "relay/ledger.go", "return !known", "return !known || true", "./proof/simulator", "TestLegs", nil},
	{twice, "claim/table.go", "case claim.done:", "case claim.done && now < 0:", "./claim", "TestTable", nil},
	{twice, "custody/owner.go", "want := min(Holders, len(others))", "want := 0", "./proof", "TestKeyOutlivesItsSidecar", nil},
	{twice, "custody/holdings.go", "case ok && old.Boot != e.Boot:", "case false:", "./proof/simulator", "TestLegs", []string{"-seeds", "400"}},
	{twice, "custody/holdings.go", "k.Owner == q.Owner && k.Boot != q.Boot", "k.Owner == q.Owner && k.Boot == q.Boot", "./proof/simulator", "TestLegs", []string{"-seeds", "400"}},
	{twice, "custody/trusts.go", "if have >= want || len(out) >= most {", "if true {", "./proof", "TestKeyOutlivesAllInTurn", nil},
	{twice, "wire/host.go", "if m.ID <= last {", "if m.ID <= last && false {", "./wire", "TestDoubledCall", nil},
	{notRun, "relay/ledger.go", "return v.refused", "return v.refused || true", "./proof/simulator", "TestLegs", nil},
	{notRun, "relay/far.go", "rc.Fate == way.Unknown && g.shut()", "rc.Fate == way.Unknown", "./proof", "TestWrongAnswers", nil},
	{notRun, "relay/far.go", "rc.Fate = way.Unknown // it came before, and was begun", "", "./relay", "TestRefusedTwin", nil},
	{notRun, "relay/guard.go", "return g.state.CompareAndSwap(guardIdle, guardWrote)", "g.state.Store(guardWrote)\n\treturn true", "./relay", "TestGuard", nil},
	{whole, "relay/exchange.go", "case err != nil:\n\t\treturn nil, nil, \"backend's answer was cut short\"", "case err != nil && false:", "./proof", "TestWrongAnswers", nil},
	{whole, "wire/frame.go", "if crc32.Checksum(b, table) != binary.BigEndian.Uint32(head[4:]) {", "if false {", "./wire", "TestBadFramesBreakTheCircuit", nil},
	{whole, "relay/receipt.go", "for k, v := range trailer {", "for k, v := range http.Header(nil) {", "./proof", "TestTrailers", nil},
	{twice, "relay/exchange.go", "if !again || !x.unwritten {", "if !again || rc.Fate != way.Unknown {", "./relay", "TestBackendCloses", nil},
	{notRun, "relay/guard.go", "if err != nil && n == 0 && !c.g.begun {", "if err == nil {", "./relay", "TestBackendCloses", nil},
	{whole, "relay/link.go", "return err == nil && errors.Is(got, syscall.EAGAIN)", "return err == nil && (got == nil || errors.Is(got, syscall.EAGAIN))", "./relay", "TestLateBytes", nil},
	{whole, "relay/exchange.go", "if strays == 0 {", "if true {", "./relay", "TestStrayAnswers", nil},
	{leaving, "relay/guard.go", "if why := g.check(); why != roster.Open {", "if why := g.check(); why != roster.Open && false {", "./relay", "TestGateOnALink", nil},
	{cold, "roster/drip.go", "if len(d.let) >= most {", "if len(d.let) > most {", "./roster", "TestDrip", nil},
	{cold, "roster/drip.go", "if up < over {", "if false {", "./relay", "TestColdRate", nil},
	{altered, "relay/dialect.go", "h.Del(HeaderCaller)", "", "./proof", "TestUntouched", nil},
	{altered, "sidecar/outgoing.go", "rendezvous.Score(\"outgoing\", service)%ports", "rendezvous.Score(\"outgoing\", service[:0])%ports", "./proof", "TestOutgoingOutlivesItsSidecar", nil},
	{altered, "relay/exchange.go", "Method: leg.Method, URL: target(addr, leg.URI)", "Method: leg.Method, URL: target(addr, \"/\")", "./proof", "TestUntouched", nil},
	{leaving, "roster/gate.go", "case e.Leaving:", "case false:", "./proof", "TestLeavingUnheard", nil},
	{leaving, "roster/pace.go", "return 3 * p.beat()", "return 40 * p.beat()", "./proof", "TestSilentBackend", nil},
	{leaving, "roster/sleep.go", "return now.Sub(s.woken) < drowsy", "return false", "./proof", "TestWokenWithOldBeats", nil},
	{emptied, "roster/claim.go", "ClaimFor = 4 * time.Second", "ClaimFor = 40 * time.Second", "./proof", "TestEmptiedUnheard", nil},
	{emptied, "cohort/statements.go", "if len(agreed) < majority {", "if majority = min(majority, len(agreed)); false {", "./proof/simulator", "TestClaims", nil},
	{emptied, "cohort/statements.go", "return agreed[majority-1], true", "return agreed[0], true", "./cohort", "TestSure", nil},
	{emptied, "cohort/statements.go", "said, asked.Add(-", "said, now.Add(-", "./cohort", "TestStatementsAge", nil},
	{emptied, "feed/follower.go", "f.Take(ctx, core, n, asked)", "f.Take(ctx, core, n, asked.Add(n.Age))", "./proof", "TestEmptiedUnheard", nil},
	{emptied, "core/warden.go", "return n.seeker.Seats().Wall(clock.Wall(), n.keeper.Voter().Self.Slot, time.Now())", "return clock.Wall()", "./proof", "TestWindows", nil},
	{force, "feed/feed.go", "\tf.word = &w\n\tf.add(Item{Word: &w})", "\tf.word = &w", "./proof", "TestStorm", nil},
	{force, "feed/copy.go", "if w.Stamp <= c.stamp {", "if w.Stamp == c.stamp {", "./proof/simulator", "TestMembers", nil},
	{force, "register/clerk.go", "case o.Kind == Put && o.Edition != 0 && o.Edition <= c.held.Edition:", "case false:", "./proof/simulator", "TestRegister", nil},
	{readBack, "register/clerk.go", "known && !same {", "known && same && !same {", "./proof", "TestEditions", nil},
	{readBack, "register/clerk.go", "w.Edition, w.Sent, w.Taken = o.Edition, o.Sent, w.Take(o.Edition, o.Digest)", "w.Edition, w.Sent, w.Taken = o.Edition, o.Sent, nil", "./register", "TestOneNumberOneConfiguration", nil},
	{readBack, "register/disk.go", "Sent: h.Sent, Taken: h.Taken,", "Sent: h.Sent,", "./register", "TestTakenNumbersOnDisk", nil},
	{emptied, "core/door.go", "n.keeper.Newest(ctx, n.refresh)\n\tif !ok || ctx.Err() != nil {", "n.keeper.Newest(context.WithoutCancel(ctx), n.refresh)\n\tif !ok {", "./proof", "TestOldEvacuationAtFrozenCore", nil},
	{emptied, "register/clerk.go", "case at <= *o.Since:", "case at <= *o.Since || true:", "./register", "TestOldCopyOfAnEvacuation", nil},
	{emptied, "register/disk.go", "Evacuations: h.Evacuations, Forgotten: h.Forgotten,", "", "./register", "TestEvacuationsOnDisk", nil},
	{force, "feed/item.go", "return it == Item{}", "return it.Word == nil", "./feed", "TestNewestWordOnly", nil},
	{returns, "feed/feed.go", "return n.Rev >= p.Rev", "return true", "./feed", "TestTalk", nil},
	{returns, "feed/feed.go", "if !ok || n.Boot != p.Boot {", "if !ok {", "./feed", "TestTalk", nil},
	{returns, "cohort/talk.go", "if r.Digest == 0 || r.Whole {", "if r.Whole {", "./feed", "TestTalk", nil},
	{force, "feed/feed.go", "n.Rev == p.Rev && n.Turn <= p.Turn", "n.Rev == p.Rev", "./feed", "TestTalk", nil},
	{returns, "cohort/seats.go", "case h.Have != 0 && h.Have == own.Mark:", "case h.Have != 0:", "./cohort", "TestDigests", nil},
	{readBack, "register/voter.go", "v.Mark, v.Word, v.WordDirty = m, w, true", "v.Mark, v.Word, v.WordDirty = m, w, false", "./proof", "TestWordOutlivesKills", nil},
	{readBack, "register/voter.go", "func Majority(n int) int { return n/2 + 1 }", "func Majority(n int) int { return n / 2 }", "./proof/simulator", "TestRegister", nil},
	{readBack, "register/sets.go", "if len(s.Before) > 0 {", "if false {", "./proof/simulator", "TestSlots", []string{"-seeds", "300"}},
	{readBack, "register/clerk.go", "_, sets = Top(votes, c.sets)", "sets = c.sets", "./register", "TestPrepareClosesOverSets", nil},
	{readBack, "register/sets.go", "\t_, sets := Top(counted, own)\n\treturn sets.Quorum(counted)", "\treturn own.Quorum(counted)", "./register", "TestComplete", nil},
	{readBack, "register/start.go", "s.First && i >= 0", "i >= 0", "./proof/simulator", "TestSlots", []string{"-seeds", "300"}},
	{readBack, "register/sets.go", "m.Slot == f.Slot && (m.ID == 0 || m.ID == f.ID)", "m.Slot == f.Slot", "./register", "TestComplete", nil},
	{readBack, "register/usher.go", "Slot: max(v.Word.Top, set[len(set)-1].Slot) + 1, ID", "Slot: set[len(set)-1].Slot + 1, ID", "./register", "TestUsherSeats", nil},
	{returns, "register/clerk.go", "if len(c.word.Formerly) > 0 {", "if false {", "./register", "TestChangeIsSealed", nil},
	{readBack, "register/voter.go", "v.OathDirty = b.Epoch > v.Promised", "v.OathDirty = false", "./proof/model", "TestEveryInterleaving", nil},
	{readBack, "register/voter.go", "v.Mark, v.Word, v.WordDirty = m, w, true", "v.Mark, v.Word, v.WordDirty = m, w, false", "./proof/model", "TestEveryInterleaving", nil},
	{readBack, "register/voter.go", "ok = b.Epoch >= v.Promised && b.Mark.Epoch == b.Epoch", "ok = b.Mark.Epoch == b.Epoch", "./proof/model", "TestEveryInterleaving", nil},
	{readBack, "register/sets.go", "if len(s.Before) > 0 {", "if false {", "./proof/model", "TestEveryInterleaving", nil},
	{readBack, "register/sets.go", "m.Slot == f.Slot && (m.ID == 0 || m.ID == f.ID)", "m.Slot == f.Slot", "./proof/model", "TestEveryInterleaving", nil},
	{readBack, "register/epoch.go", "(known/n+1)*n + uint64(slot)", "(known/n+1)*n + uint64(min(slot, 1))", "./proof/model", "TestEveryInterleaving", nil},
	{force, "register/clerk.go", "known && !same {", "known && !same && false {", "./proof/model", "TestEveryInterleaving", nil},
	{returns, "register/clerk.go", "finishing := c.phase", "finishing := false && c.phase", "./register", "TestSealOutlastsTicks", nil},
	{returns, "register/usher.go", "even := len(set)%2 == 0", "even := false", "./proof/simulator", "TestSecondLoss", nil},
	{returns, "core/door.go", "case !joined && len", "case false && len", "./core", "TestLacksSeat", nil},
	{returns, "register/epoch.go", "stride    = 1 << 29", "stride    = 1 << 16", "./register", "TestSlotsOutlastYears", nil},
	{readBack, "register/clerk.go", "if c.base.Compare(v.Mark) < 0 {", "if c.base.Compare(v.Mark) > 0 {", "./proof/simulator", "TestRegister", nil},
	{extra, "contract/purse.go", "if have < price {", "if have < -1<<40 {", "./proof", "TestExtraLegsBounded", nil},
	{extra, "contract/purse.go", "earns = 200", "earns = 400", "./contract", "TestExtraLegsOverAnyWindow", nil},
	{cold, "roster/entry.go", "bear := float64(e.Capacity) * e.ShareAt(now) * ramp", "bear := float64(e.Capacity) * ramp", "./proof", "TestColdBackend", nil},
	{cold, "way/table.go", "longest = max(longest, min(freshMost, c.Expiry.Duration))", "longest = max(longest, min(0, c.Expiry.Duration))", "./proof/simulator", "TestColdThroughKills", nil},
	{dropped, "sidecar/node.go", "for n.far.Counts.Open.Load() > 0 || n.near.Counts.Open.Load() > 0 {", "for false {", "./proof", "TestDrain", nil},
	{dropped, "sidecar/node.go", "n.webs[1].Part(parting, relay.Farewell(n.near.Dialect))", "", "./proof", "TestFarewell", nil},
	{returns, "feed/feed.go", "SettleIn = 700 * time.Millisecond", "SettleIn = 17 * time.Second", "./proof", "TestHerd", nil},
	{returns, "register/keeper.go", "!k.trying && ", "", "./register", "TestSeatGrantedSlowly", nil},
	{whole, "relay/exchange.go", "|| x.link.headed {", "|| x.leg.Method == http.MethodHead {", "./relay", "TestStrayAnswerAfterHead", nil},
	{whole, "platform/dialect.go", "case try != \"\" && try != own:", "case try != \"\" && try != own && status/100 == 2:", "./platform", "TestJudge", nil},
	{whole, "platform/dialect.go", "case try == \"\" && own != \"\", status/100", "case status/100", "./platform", "TestJudge", nil},
	{notRun, "platform/dialect.go", "case rc.Status == http.StatusServiceUnavailable:", "case false:", "./platform", "TestWord", nil},
	{notRun, "relay/leg.go", "case way.NotRun, way.Unknown:", "default:", "./relay", "TestReceiptNotUnderstood", nil},
	{whole, "relay/leg.go", "return r.ID == leg.ID && r.Status >= 200 && r.Status <= 999", "return r.Status >= 200 && r.Status <= 999", "./relay", "TestReceiptNotUnderstood", nil},
	{notRun, "relay/near.go", "case r.Fate == wire.Unsent:", "case r.Fate != wire.Answered:", "./relay", "TestLegReadAfterItsRecall", nil},
	{twice, "relay/exchange.go", "if !again || !x.unwritten {", "if !again || rc.Status != 0 {", "./relay", "TestBackendResets", nil},
	{altered, "relay/near.go", "trailer := endToEnd(r.Trailer)", "trailer := r.Trailer", "./relay", "TestClientTrailers", nil},
	{altered, "relay/near.go", "n.Dialect.Hear(r, trailer)", "", "./relay", "TestClientTrailers", nil},
	{altered, "relay/far.go", "|| !leg.valid() {", "{", "./relay", "TestLegNotUnderstood", nil},
	{whole, "relay/receipt.go", "trailer = nil // it knows no chunks", "// it knows no chunks", "./relay", "TestTrailersForAnOldClient", nil},
	{whole, "wire/circuit.go", "if k.givenUp.Load() {\n\t\t\t\tc.count", "if k = open[next]; k == nil {\n\t\t\t\tc.count", "./wire", "TestLateReceipts", nil},
	{lives, "wire/message.go", "if err := wellFormed(b); err != nil {", "if err := wellFormed(b); false && err != nil {", "./wire", "TestMalformedPayload", nil},
	{lives, "wire/frame.go", "min(n-had, max(had, chunk))", "n-had", "./wire", "TestClaimedLengthTakesNoMemory", nil},
	{lives, "wire/circuit.go", "readFrame(r, maxGreeting)", "readFrame(r, MaxFrame)", "./wire", "TestClaimedLengthTakesNoMemory", nil},
	{held, "wire/host.go", "\tcase out <- b:\n\t\th.Counts.receipt(KindPing, len(b))\n\tdefault:\n", "\tcase out <- b:\n\t\th.Counts.receipt(KindPing, len(b))\n", "./wire", "TestHostReadsOnWhileReceiptsPileUp", nil},
	{held, "wire/circuit.go", "if k.elsewhere && peer.suspect() {", "if false {", "./wire", "TestSuspectedPeer", nil},
	{held, "wire/circuit.go", "case <-begin.Done():", "case <-ctx.Done():", "./wire", "TestPeerThatTakesNothing", nil},
	{returns, "wire/silence.go", "s.silent += min(passed, pingAfter)", "s.silent += passed", "./wire", "TestSilence", nil},
	{returns, "wire/silence.go", "c.bytes.Add(uint64(n))", "c.bytes.Add(0)", "./wire", "TestSlowAnswer", nil},
	{waits, "trace/queue.go", "\tdefault:\n\t\tq.dropped.Add(1)\n", "", "./trace", "TestFullQueue", nil},
}
