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

// TestConstants checks that the enumerated texts and the numbers that are sent, stored or shown have
// not changed.
func TestConstants(t *testing.T) {
	for name, values := range map[string][]any{
		"message-kinds": {
			membership.KindHeartbeat, membership.KindProbe, membership.KindGossip, watch.KindWatch,
			consensus.KindMessage, consensus.KindCommand, consensus.KindJoin, consensus.KindDeltaMessage, consensus.KindDeltaCommand,
			tracestore.KindPublish, tracestore.KindTrace, keyreplication.KindStore, keyreplication.KindRelease, keyreplication.KindHandover,
			proxy.KindAttempt, proxy.KindCancel, transport.KindPing,
		},
		"acts":             {consensus.MsgPrepare, consensus.MsgAccept, consensus.MsgCommit, consensus.MsgRead, consensus.MsgReadIndex, consensus.MsgJoin},
		"phases":           {consensus.PhaseEmpty, consensus.PhaseJoining, consensus.PhaseLost, consensus.PhaseEstablished},
		"results":          {consensus.OutcomeCommitted, consensus.OutcomeRejected, consensus.OutcomeUnknown, consensus.OutcomeMismatch, consensus.OutcomeConflict, consensus.OutcomeSuperseded},
		"orders":           {consensus.CommandPutConfiguration, consensus.CommandEvacuate, consensus.CommandRevokeEvacuation, consensus.CommandRefresh, consensus.CommandPutCalendar, consensus.CommandBeginWindow, consensus.CommandEndWindow, consensus.CommandReconfigure},
		"departure-orders": {consensus.CommandRecordDepartures},
		"outcomes":         {routing.Answered, routing.NotRun, routing.Unknown},
		"headers":          {proxy.HeaderCaller, proxy.HeaderOutcome, proxy.HeaderKey, trace.HeaderTrace, trace.HeaderSpan, trace.HeaderParent},
		"links":            {trace.LinkNone, trace.LinkProven, trace.LinkInferred},
		"events":           {trace.ClientStart, trace.ServerReceive, trace.ServerSend, trace.ClientReceive},
		"numbers":          {transport.ProtocolVersion, transport.MaxFrameSize, int64(idempotency.Retention)},
	} {
		var lines []string
		for _, value := range values {
			lines = append(lines, fmt.Sprintf("%v", value))
		}
		slices.Sort(lines)
		golden.Check(t, "constants/"+name+".txt", []byte(strings.Join(lines, "\n")+"\n"))
	}
}
