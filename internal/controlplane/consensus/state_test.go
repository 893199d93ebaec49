package consensus

import (
	"reflect"
	"slices"
	"testing"
)

// A field that the encodings leave out would have states merged that behave otherwise:
// each field is listed here as told, or as one that needs no telling.
func TestStatesAreTold(t *testing.T) {
	for _, c := range []struct {
		of     any
		fields []string
	}{
		// Founded is zero where slots come and go; opened, sent, rest and began are told as
		// far as they matter.
		{Proposer{}, []string{
			"Self", "Founded", "founders", "sets", "asked", "opened", "phase", "epoch", "known", "mark", "word", "base", "held",
			"own", "orders", "votes", "against", "sent", "rest", "began",
		}},
		{Acceptor{}, []string{"Self", "Founded", "Founders", "Phase", "Promised", "Mark", "Word", "Seats", "Settled", "OathDirty", "WordDirty"}},
		{Vote{}, []string{"From", "Act", "Epoch", "OK", "Phase", "Promised", "Mark", "Word", "Settled", "Seats", "Sets"}},
		{Ballot{}, []string{"From", "Act", "Epoch", "Mark", "Word"}},
	} {
		of := reflect.TypeOf(c.of)
		for i := range of.NumField() {
			if name := of.Field(i).Name; !slices.Contains(c.fields, name) {
				t.Errorf("%s.%s: is it told by AppendState, and copied by Clone?", of.Name(), name)
			}
		}
	}
}
