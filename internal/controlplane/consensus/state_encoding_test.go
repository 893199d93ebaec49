package consensus

import (
	"reflect"
	"slices"
	"testing"
)

// A field that the encodings leave out would have states merged that behave otherwise:
// each field is listed here as encoded, or as one that need not be.
func TestStateEncodingCoversEveryField(t *testing.T) {
	for _, c := range []struct {
		of     any
		fields []string
	}{
		// staticSize is zero where members come and go; backoffUntil, termStarted, startedAt and
		// lastSent are encoded as far as they matter.
		{Proposer{}, []string{
			"self", "staticSize", "initialMembers", "memberSets", "phase", "term", "termStarted", "highestTerm", "backoffUntil",
			"base", "proposal", "commands", "exchange",
		}},
		{stateSnapshot{}, []string{"position", "state"}},
		{proposal{}, []string{"stateSnapshot", "forCommand"}},
		{phaseExchange{}, []string{"recipients", "startedAt", "lastSent", "grants", "rejections"}},
		{Acceptor{}, []string{"Self", "StaticSize", "InitialMembers", "Phase", "Promised", "Position", "State", "MemberRecords", "Committed", "PromiseDirty", "StateDirty"}},
		{Reply{}, []string{"Sender", "Type", "Term", "Granted", "Phase", "Promised", "Position", "State", "Committed", "MemberRecords", "MemberSets"}},
		{Message{}, []string{"Sender", "Type", "Term", "Position", "State"}},
	} {
		of := reflect.TypeOf(c.of)
		for i := range of.NumField() {
			if name := of.Field(i).Name; !slices.Contains(c.fields, name) {
				t.Errorf("%s.%s: is it encoded by AppendState, and copied by Clone?", of.Name(), name)
			}
		}
	}
}
