package consensus

import (
	"reflect"
	"slices"
	"testing"
)

// A field that is missing in the encodings would make states compare equal that behave
// differently. Every field must be listed here, either as encoded or as not needed.
func TestStateEncodingCoversEveryField(t *testing.T) {
	for _, c := range []struct {
		typ    any
		fields []string
	}{
		// staticSize is zero with dynamic membership. backoffUntil, termStarted, startedAt, and
		// lastSent are encoded only as far as they matter.
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
		typ := reflect.TypeOf(c.typ)
		for i := range typ.NumField() {
			if name := typ.Field(i).Name; !slices.Contains(c.fields, name) {
				t.Errorf("%s.%s is not listed; check that AppendState encodes it and Clone copies it", typ.Name(), name)
			}
		}
	}
}
