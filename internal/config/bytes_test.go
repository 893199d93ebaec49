package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// big is a configuration of n ways.
func big(n int) State {
	st := State{
		Contracts: []Contract{
			{Name: "quick", Aim: Duration{Duration: 500 * time.Microsecond}, Deadline: Duration{Duration: time.Millisecond}, Rank: 1},
			{Name: "slow", Aim: Duration{Duration: time.Second}, Deadline: Duration{Duration: 90 * time.Second}, Rank: 9},
		},
		Limits: Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderWait: Duration{Duration: 5 * time.Second}, Idle: Duration{Duration: time.Minute}},
	}
	for i := range n {
		s := Service{Name: fmt.Sprintf("service-%d", i), Connections: i}
		if i%2 == 0 {
			s.Cold = &Cold{For: Duration{Duration: 3 * time.Second}, Rate: 9.3}
		}
		st.Services = append(st.Services, s)
		w := Route{Name: fmt.Sprintf("way-%d", i), Host: fmt.Sprintf("host-%d.example", i%40), Prefix: fmt.Sprintf("/some/where/%d/<&>", i), Contract: "quick"}
		switch i % 3 {
		case 0:
			w.Service = s.Name
		case 1:
			w.Split, w.Attempts = []Portion{{Service: s.Name, Weight: 95}, {Service: "service-0", Weight: 5}}, 1
		default:
			w.Service, w.Methods, w.Contract, w.Repeatable = s.Name, []string{"GET", "HEAD"}, "slow", true
		}
		st.Routes = append(st.Routes, w)
	}
	return st
}

// What a State is written as reads back as the same one.
func TestBytes(t *testing.T) {
	for name, st := range map[string]State{"empty": {}, "one way, nothing else": {Contracts: big(1).Contracts, Routes: big(1).Routes}, "all": big(40)} {
		text := st.Bytes()
		got, faults, ok := Parse(text)
		if !ok || len(faults) > 0 {
			t.Errorf("%s: %v in %s", name, faults, text)
		}
		if d := cmp.Diff(st, got, cmpopts.IgnoreUnexported(Stray{}), cmpopts.EquateEmpty()); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}
