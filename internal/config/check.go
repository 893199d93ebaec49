package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/mailru/easyjson/jlexer"
)

// MaxBytes bounds a configuration.
const MaxBytes = 4 << 20

// MaxRank is the lowest rank.
const MaxRank = 9

// MaxAttempts is how many attempts a way may ask for.
const MaxAttempts = 10

const (
	longestTime   = 10 * time.Minute
	heaviest      = 1_000_000 // of a split's weights
	mostOpen      = 1_000_000 // connections to a backend
	highestRate   = 1e6
	mostHeader    = 16 << 20
	mostBodyBytes = 1 << 40
)

// NameForm tells what a name, of a zone too, may be.
const NameForm = "a name of lower-case letters, digits, '.', '_', '-', at most 63"

// IsName tells whether a text may be a name.
func IsName(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := 'a' <= c && c <= 'z' || '0' <= c && c <= '9'
		if !letter && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return len(s) >= 1 && len(s) <= 63
}

func isMethod(s string) bool {
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return len(s) >= 1 && len(s) <= 20
}

// Parse reads and checks a configuration. ok is false if the bytes are no
// JSON; otherwise all faults are listed in one go. (DESIGN 5.2)
func Parse(b []byte) (st State, faults []Fault, ok bool) {
	if !json.Valid(b) {
		return st, nil, false
	}
	sh := newShape(b)
	faults = sh.doubled
	if first := bytes.TrimLeft(b, " \t\r\n")[0]; first != '{' {
		return st, []Fault{{Path: "$", Message: "must be an object"}}, true
	}
	in := jlexer.Lexer{Data: b, UseMultipleErrors: true}
	st.UnmarshalEasyJSON(&in)
	for _, e := range in.GetNonFatalErrors() {
		faults = append(faults, Fault{Path: sh.path(e.Offset), Message: e.Reason})
	}
	if err := in.Error(); err != nil {
		faults = append(faults, Fault{Path: "$", Message: err.Error()})
	}
	c := checker{faults: faults}
	c.state(&st)
	return st, c.faults, true
}

// checker collects what is wrong.
type checker struct{ faults []Fault }

func (c *checker) fault(p *spot, field, format string, args ...any) {
	path := p.text()
	if field != "" {
		path += "." + field
	}
	c.faults = append(c.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) stray(p *spot, s *Stray) {
	for _, n := range s.sorted() {
		c.fault(p, n, "unknown field")
	}
}

func (c *checker) name(p *spot, field, v string) {
	if !IsName(v) {
		c.fault(p, field, "%q: must be %s", v, NameForm)
	}
}

func (c *checker) duration(p *spot, field string, d Duration) {
	switch {
	case d.Bad != "":
		c.fault(p, field, "%q is no duration such as \"250ms\"", d.Bad)
	case d.Duration <= 0 || d.Duration > longestTime:
		c.fault(p, field, "%v is out of range: more than 0s, at most %v", d.Duration, longestTime)
	}
}

// within checks a whole number that may be left out.
func (c *checker) within(p *spot, field string, v, least, most int64) {
	if v < least || v > most {
		c.fault(p, field, "%d is out of range: %d to %d", v, least, most)
	}
}

// alone checks that a name is the first of its kind in a list.
func (c *checker) alone(p *spot, name string, index int, seen map[string]int) {
	if first, dup := seen[name]; dup {
		other := spot{up: p.up, index: first}
		c.fault(p, "name", "%q is the name of %s too", name, other.text())
		return
	}
	seen[name] = index
}

func (c *checker) state(st *State) {
	top := spot{name: "$"}
	c.stray(&top, &st.Stray)
	contracts, services := c.contracts(&top, st.Contracts), c.services(&top, st.Services)
	c.routes(&top, st.Routes, contracts, services)
	p, l := spot{up: &top, name: "limits"}, &st.Limits
	c.stray(&p, &l.Stray)
	c.within(&p, "header_bytes", int64(l.HeaderBytes), 0, mostHeader)
	c.within(&p, "body_bytes", l.BodyBytes, 0, mostBodyBytes)
	if l.HeaderWait.IsDefined() {
		c.duration(&p, "header_wait", l.HeaderWait)
	}
	if l.Idle.IsDefined() {
		c.duration(&p, "idle", l.Idle)
	}
}

func (c *checker) contracts(top *spot, list []Contract) map[string]int {
	in, seen := spot{up: top, name: "contracts"}, make(map[string]int, len(list))
	for i := range list {
		k, p := &list[i], spot{up: &in, index: i}
		c.stray(&p, &k.Stray)
		c.name(&p, "name", k.Name)
		c.alone(&p, k.Name, i, seen)
		c.duration(&p, "aim", k.Aim)
		c.duration(&p, "expiry", k.Deadline)
		if k.Aim.Bad == "" && k.Deadline.Bad == "" && k.Aim.Duration > k.Deadline.Duration {
			c.fault(&p, "aim", "%v is later than the expiry %v", k.Aim.Duration, k.Deadline.Duration)
		}
		if k.Rank < 1 || k.Rank > MaxRank {
			c.fault(&p, "rank", "%d is no rank: 1 (first) to %d", k.Rank, MaxRank)
		}
	}
	return seen
}

func (c *checker) services(top *spot, list []Service) map[string]int {
	in, seen := spot{up: top, name: "services"}, make(map[string]int, len(list))
	for i := range list {
		s, p := &list[i], spot{up: &in, index: i}
		c.stray(&p, &s.Stray)
		c.name(&p, "name", s.Name)
		c.alone(&p, s.Name, i, seen)
		c.within(&p, "connections", int64(s.Connections), 0, mostOpen)
		if s.Cold == nil {
			continue
		}
		cold := spot{up: &p, name: "cold"}
		c.stray(&cold, &s.Cold.Stray)
		c.duration(&cold, "for", s.Cold.For)
		if s.Cold.Rate <= 0 || s.Cold.Rate > highestRate {
			c.fault(&cold, "rate", "%v is out of range: more than 0, at most %v", s.Cold.Rate, highestRate)
		}
	}
	return seen
}

// taken is what a way takes: no two may take the same.
type taken struct{ host, method, prefix string }

func (c *checker) routes(top *spot, list []Route, contracts, services map[string]int) {
	in, names, matches := spot{up: top, name: "ways"}, make(map[string]int, len(list)), make(map[taken]int, len(list))
	for i := range list {
		w, p := &list[i], spot{up: &in, index: i}
		c.stray(&p, &w.Stray)
		c.name(&p, "name", w.Name)
		c.leads(&p, w, services)
		c.alone(&p, w.Name, i, names)
		c.within(&p, "legs", int64(w.Attempts), 0, MaxAttempts)
		if !strings.HasPrefix(w.Prefix, "/") {
			c.fault(&p, "prefix", "%q does not start with '/'", w.Prefix)
		}
		if _, known := contracts[w.Contract]; !known {
			c.fault(&p, "contract", "no contract is named %q", w.Contract)
		}
		for j, m := range w.Methods {
			if !isMethod(m) {
				c.fault(&p, fmt.Sprintf("methods[%d]", j), "%q is no method", m)
			}
		}
		methods := w.Methods
		if len(methods) == 0 {
			methods = []string{"*"}
		}
		for _, m := range methods {
			key := taken{w.Host, m, w.Prefix}
			if first, dup := matches[key]; dup {
				c.fault(&p, "", "takes the same inquiries as $.ways[%d]", first)
				break
			}
			matches[key] = i
		}
	}
}

// leads checks where a way leads: to one service, or to several by weight.
func (c *checker) leads(p *spot, w *Route, services map[string]int) {
	known := func(p *spot, name string) {
		if _, ok := services[name]; !ok && len(services) > 0 && IsName(name) {
			c.fault(p, "service", "no service is named %q", name)
		}
	}
	if len(w.Split) == 0 {
		c.name(p, "service", w.Service)
		known(p, w.Service)
		return
	}
	if w.Service != "" {
		c.fault(p, "service", "stands beside split: a way has one of the two")
	}
	in, seen, sum := spot{up: p, name: "split"}, map[string]bool{}, 0
	for i := range w.Split {
		s, q := &w.Split[i], spot{up: &in, index: i}
		c.stray(&q, &s.Stray)
		c.name(&q, "service", s.Service)
		known(&q, s.Service)
		if seen[s.Service] {
			c.fault(&q, "service", "%q stands in this split twice", s.Service)
		}
		seen[s.Service] = true
		c.within(&q, "weight", int64(s.Weight), 0, heaviest)
		sum += max(0, min(heaviest, s.Weight))
	}
	if sum == 0 {
		c.fault(&in, "", "all weights are 0")
	}
}
