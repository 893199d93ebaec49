package consensus

import (
	"reflect"
	"slices"
	"testing"
)

// A field that the encodings leave out would have states merged that behave otherwise:
// each field is listed here as told, or as one that needs no telling.
func TestStateEncodingCoversEveryField(t *testing.T) {
	for _, c := range []struct {
		of     any
		fields []string
	}{
		// Founded is zero where slots come and go; opened, sent, rest and began are told as
		// far as they matter.
		{Proposer{}, []string{
			"Self", "StaticSize", "initialMembers", "memberSets", "recipients", "phaseStarted", "phase", "term", "highestTerm", "position", "state", "basePosition", "baseState",
			"forCommand", "commands", "grants", "rejections", "lastSent", "backoffUntil", "termStarted",
		}},
		{Acceptor{}, []string{"Self", "StaticSize", "InitialMembers", "Phase", "Promised", "Position", "State", "Members", "Committed", "PromiseDirty", "StateDirty"}},
		{Reply{}, []string{"Sender", "Type", "Term", "Granted", "Phase", "Promised", "Position", "State", "Committed", "Members", "MemberSets"}},
		{Message{}, []string{"Sender", "Type", "Term", "Position", "State"}},
	} {
		of := reflect.TypeOf(c.of)
		for i := range of.NumField() {
			if name := of.Field(i).Name; !slices.Contains(c.fields, name) {
				t.Errorf("%s.%s: is it told by AppendState, and copied by Clone?", of.Name(), name)
			}
		}
	}
}
