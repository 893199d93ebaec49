package plan

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/trace"
)

// samples is how many traces the share that moves is drawn from.
const samples = 4096

// side is the fleet before or after the change.
type side struct {
	state   config.Configuration
	emptied []string
	nodes   []membership.Node
	cores   []membership.Replica
}

// Make works out what a change of a snapshot would move. The faults are those
// of the input: then nothing was worked out.
func Make(s Snapshot, c Change) (m Moves, faults []config.FieldViolation) {
	before := side{emptied: s.Emptied, nodes: s.Nodes, cores: s.Cores}
	if s.Desired != "" {
		if before.state, faults = parse([]byte(s.Desired), "snapshot"); len(faults) > 0 {
			return m, faults
		}
	}
	after := before
	if c.Desired != nil {
		if after.state, faults = parse(c.Desired, "desired"); len(faults) > 0 {
			return m, faults
		}
	}
	after.emptied = slices.DeleteFunc(append(slices.Clone(s.Emptied), c.Empty...), func(l string) bool { return slices.Contains(c.TakeBack, l) })
	after.nodes = slices.DeleteFunc(slices.Clone(s.Nodes), func(n membership.Node) bool { return slices.Contains(c.Lose, n.Addr) })
	after.cores = slices.DeleteFunc(slices.Clone(s.Cores), func(x membership.Replica) bool { return slices.Contains(c.Lose, x.Addr) })
	for _, a := range c.Gain {
		after.nodes = append(after.nodes, membership.Node{Addr: a})
	}
	for _, a := range c.Lose {
		if !slices.ContainsFunc(s.Nodes, func(n membership.Node) bool { return n.Addr == a }) && !slices.ContainsFunc(s.Cores, func(x membership.Replica) bool { return x.Addr == a }) {
			faults = append(faults, config.FieldViolation{Path: a, Message: "no such node or core"})
		}
	}
	if len(faults) > 0 {
		return m, faults
	}
	m.Routes = differ(before.state.Routes, after.state.Routes, func(w config.Route) string { return w.Name })
	m.Contracts = differ(before.state.Contracts, after.state.Contracts, func(k config.Contract) string { return k.Name })
	m.Services = differ(before.state.Services, after.state.Services, func(x config.Service) string { return x.Name })
	m.Limits = text(before.state.Limits) != text(after.state.Limits)
	m.Capacity = capacities(before, after)
	m.AtRisk = risks(before, after)
	m.follow(before, after)
	for _, w := range s.Windows {
		shut := after
		shut.emptied = append(slices.Clone(after.emptied), w.Zone)
		m.Windows = append(m.Windows, Coming{Occurrence: w, Capacity: capacities(after, shut), AtRisk: risks(after, shut)})
	}
	return m, nil
}

func parse(b []byte, what string) (config.Configuration, []config.FieldViolation) {
	configuration, faults, ok := config.Parse(b)
	if !ok {
		faults = []config.FieldViolation{{Path: what, Message: "not JSON"}}
	}
	return configuration, faults
}

// text is what is compared of a part of a configuration.
func text(x any) string {
	b, _ := json.Marshal(x) // our types never fail
	return string(b)
}

// differ tells which of two lists' items came, went or changed, by name.
func differ[T any](before, after []T, name func(T) string) (out []string) {
	old := map[string]string{}
	for _, x := range before {
		old[name(x)] = text(x)
	}
	for _, x := range after {
		was, had := old[name(x)]
		switch {
		case !had:
			out = append(out, name(x)+": new")
		case was != text(x):
			out = append(out, name(x)+": changed")
		}
		delete(old, name(x))
	}
	for n := range old {
		out = append(out, n+": gone")
	}
	return sorted(out, strings.Compare)
}

// places counts what may be run, by service and zone.
func (s side) places() map[[2]string]int {
	out := map[[2]string]int{}
	for _, n := range s.nodes {
		for _, b := range n.Backends {
			if !b.Draining && !slices.Contains(s.emptied, b.Zone) {
				out[[2]string{b.Service, b.Zone}] += b.Capacity
			}
		}
	}
	return out
}

// of counts a service's places.
func (s side) of(service string) (n int) {
	for k, c := range s.places() {
		if k[0] == service {
			n += c
		}
	}
	return n
}

func capacities(before, after side) (out []Capacity) {
	was, is := before.places(), after.places()
	for k := range maps.Keys(was) {
		if _, ok := is[k]; !ok {
			is[k] = 0
		}
	}
	for k, n := range is {
		if was[k] != n {
			out = append(out, Capacity{Service: k[0], Zone: k[1], Before: was[k], After: n})
		}
	}
	return sorted(out, func(a, b Capacity) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Zone, b.Zone))
	})
}

// risks lists the contracts of ways whose service is left without backends, or
// with less than half of its places.
func risks(before, after side) (out []Risk) {
	for _, w := range after.state.Routes {
		for _, service := range w.Services() {
			was, is := before.of(service), after.of(service)
			switch {
			case is == 0:
				out = append(out, Risk{Contract: w.Contract, Why: fmt.Sprintf("way %s: no backend of %s", w.Name, service)})
			case 2*is < was:
				out = append(out, Risk{Contract: w.Contract, Why: fmt.Sprintf("way %s: %s keeps %d of %d places", w.Name, service, is, was)})
			}
		}
	}
	return out
}

// first is the core that ranks first for a key.
func first(cores []membership.Replica, key string, name func(membership.Replica) string) string {
	if len(cores) == 0 {
		return "none"
	}
	return rendezvous.Rank(key, cores, name)[0].Addr
}

// follow works out what goes to other cores: followers, the duty, traces.
func (m *Moves) follow(before, after side) {
	addr := func(c membership.Replica) string { return c.Addr }
	slot := func(c membership.Replica) string { return fmt.Sprint(c.MemberID) }
	duty := func(s side) string {
		if len(s.cores) == 0 {
			return "none"
		}
		return s.cores[0].Addr
	}
	if from, to := duty(before), duty(after); from != to {
		m.Duty = &Move{What: "duty", From: from, To: to}
	}
	for _, n := range after.nodes {
		from := "none"
		if slices.ContainsFunc(before.nodes, func(o membership.Node) bool { return o.Addr == n.Addr }) {
			from = first(before.cores, n.Addr, addr)
		}
		if to := first(after.cores, n.Addr, addr); from != to {
			m.Followers = append(m.Followers, Move{What: n.Addr, From: from, To: to})
		}
	}
	moved := 0
	for i := range samples {
		id := trace.TraceID{Lo: trace.ID(i + 1)}.String()
		if first(before.cores, id, slot) != first(after.cores, id, slot) {
			moved++
		}
	}
	m.Collectors = float64(moved) / samples
}
