package golden_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/transport"
	"curlewwalk/internal/watch"
	"curlewwalk/tests/golden"
)

// Texts and numbers that are sent, stored or shown in place of a choice are what they have
// always been.
func TestConstants(t *testing.T) {
	for name, values := range map[string][]any{
		"message-kinds": {
			membership.KindHeartbeat, membership.KindProbe, membership.KindGossip, watch.KindFollow,
			consensus.KindBallot, consensus.KindOrder, consensus.KindSeat, consensus.KindPatchedBallot, consensus.KindPatchedOrder,
			tracestore.KindPublish, tracestore.KindTrace, keyreplication.KindHold, keyreplication.KindRelease, keyreplication.KindHandover,
			proxy.KindAttempt, proxy.KindRecall, transport.KindPing,
		},
		"acts":     {consensus.Prepare, consensus.Propose, consensus.Settle, consensus.Read, consensus.Look, consensus.Sit},
		"phases":   {consensus.Virgin, consensus.Seeking, consensus.Lost, consensus.Established},
		"results":  {consensus.Taken, consensus.NotTaken, consensus.Unknown, consensus.Mismatch, consensus.Conflict, consensus.Overtaken},
		"orders":   {consensus.Put, consensus.Empty, consensus.TakeBack, consensus.Refresh, consensus.Calendar, consensus.Begin, consensus.End, consensus.Reseat},
		"outcomes": {routing.Answered, routing.NotRun, routing.Unknown},
		"headers":  {proxy.HeaderCaller, proxy.HeaderOutcome, proxy.HeaderKey, trace.HeaderTrace, trace.HeaderSpan, trace.HeaderParent},
		"links":    {trace.LinkNone, trace.LinkProven, trace.LinkInferred},
		"events":   {trace.ClientStart, trace.ServerReceive, trace.ServerSend, trace.ClientReceive},
		"numbers":  {transport.Version, transport.MaxFrame, int64(idempotency.HeldFor)},
	} {
		var lines []string
		for _, value := range values {
			lines = append(lines, fmt.Sprintf("%v", value))
		}
		slices.Sort(lines)
		golden.Check(t, "constants/"+name+".txt", []byte(strings.Join(lines, "\n")+"\n"))
	}
}
