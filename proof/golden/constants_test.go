package golden_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"curlewwalk/claim"
	"curlewwalk/collect"
	"curlewwalk/consensus"
	"curlewwalk/custody"
	"curlewwalk/feed"
	"curlewwalk/membership"
	"curlewwalk/proof/golden"
	"curlewwalk/relay"
	"curlewwalk/routing"
	"curlewwalk/trace"
	"curlewwalk/wire"
)

// Texts and numbers that are sent, stored or shown in place of a choice are what they have
// always been.
func TestConstants(t *testing.T) {
	for name, values := range map[string][]any{
		"message-kinds": {
			membership.KindHeartbeat, membership.KindProbe, membership.KindGossip, feed.KindFollow,
			consensus.KindBallot, consensus.KindOrder, consensus.KindSeat, consensus.KindPatchedBallot, consensus.KindPatchedOrder,
			collect.KindPublish, collect.KindTrace, custody.KindHold, custody.KindRelease, custody.KindHandover,
			relay.KindAttempt, relay.KindRecall, wire.KindPing,
		},
		"acts":     {consensus.Prepare, consensus.Propose, consensus.Settle, consensus.Read, consensus.Look, consensus.Sit},
		"phases":   {consensus.Virgin, consensus.Seeking, consensus.Lost, consensus.Established},
		"results":  {consensus.Taken, consensus.NotTaken, consensus.Unknown, consensus.Mismatch, consensus.Conflict, consensus.Overtaken},
		"orders":   {consensus.Put, consensus.Empty, consensus.TakeBack, consensus.Refresh, consensus.Calendar, consensus.Begin, consensus.End, consensus.Reseat},
		"outcomes": {routing.Answered, routing.NotRun, routing.Unknown},
		"headers":  {relay.HeaderCaller, relay.HeaderOutcome, relay.HeaderKey, trace.HeaderTrace, trace.HeaderSpan, trace.HeaderParent},
		"links":    {trace.LinkNone, trace.LinkProven, trace.LinkInferred},
		"events":   {trace.ClientStart, trace.ServerReceive, trace.ServerSend, trace.ClientReceive},
		"numbers":  {wire.Version, wire.MaxFrame, int64(claim.HeldFor)},
	} {
		var lines []string
		for _, value := range values {
			lines = append(lines, fmt.Sprintf("%v", value))
		}
		slices.Sort(lines)
		golden.Check(t, "constants/"+name+".txt", []byte(strings.Join(lines, "\n")+"\n"))
	}
}
