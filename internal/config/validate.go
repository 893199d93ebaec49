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

// LowestPriority is the lowest rank.
const LowestPriority = 9

// MaxAttempts is how many attempts a way may ask for.
const MaxAttempts = 10

const (
	maxDuration    = 10 * time.Minute
	maxWeight      = 1_000_000 // of a split's weights
	maxConnections = 1_000_000 // connections to a backend
	maxRequestRate = 1e6
	maxHeaderBytes = 16 << 20
	maxBodyBytes   = 1 << 40
)

// NameRules tells what a name, of a zone too, may be.
const NameRules = "a name of lower-case letters, digits, '.', '_', '-', at most 63"

// IsValidName tells whether a text may be a name.
func IsValidName(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := 'a' <= c && c <= 'z' || '0' <= c && c <= '9'
		if !letter && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return len(s) >= 1 && len(s) <= 63
}

func isValidMethod(s string) bool {
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return len(s) >= 1 && len(s) <= 20
}

// Parse reads and checks a configuration. ok is false if the bytes are no
// JSON; otherwise all faults are listed in one go. (DESIGN 5.2)
func Parse(b []byte) (configuration Configuration, faults []FieldViolation, ok bool) {
	if !json.Valid(b) {
		return configuration, nil, false
	}
	sc := newScanner(b)
	faults = sc.duplicates
	if first := bytes.TrimLeft(b, " \t\r\n")[0]; first != '{' {
		return configuration, []FieldViolation{{Path: "$", Message: "must be an object"}}, true
	}
	in := jlexer.Lexer{Data: b, UseMultipleErrors: true}
	configuration.UnmarshalEasyJSON(&in)
	for _, e := range in.GetNonFatalErrors() {
		faults = append(faults, FieldViolation{Path: sc.pathAt(e.Offset), Message: e.Reason})
	}
	if err := in.Error(); err != nil {
		faults = append(faults, FieldViolation{Path: "$", Message: err.Error()})
	}
	c := validator{violations: faults}
	c.configuration(&configuration)
	return configuration, c.violations, true
}

// validator collects what is wrong.
type validator struct{ violations []FieldViolation }

func (c *validator) report(p *fieldPath, field, format string, args ...any) {
	path := p.String()
	if field != "" {
		path += "." + field
	}
	c.violations = append(c.violations, FieldViolation{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *validator) unknownFields(p *fieldPath, u *UnknownFields) {
	for _, n := range u.sortedNames() {
		c.report(p, n, "unknown field")
	}
}

func (c *validator) name(p *fieldPath, field, v string) {
	if !IsValidName(v) {
		c.report(p, field, "%q: must be %s", v, NameRules)
	}
}

func (c *validator) duration(p *fieldPath, field string, d Duration) {
	switch {
	case d.Invalid != "":
		c.report(p, field, "%q is no duration such as \"250ms\"", d.Invalid)
	case d.Duration <= 0 || d.Duration > maxDuration:
		c.report(p, field, "%v is out of range: more than 0s, at most %v", d.Duration, maxDuration)
	}
}

// inRange checks a whole number that may be left out.
func (c *validator) inRange(p *fieldPath, field string, v, minimum, maximum int64) {
	if v < minimum || v > maximum {
		c.report(p, field, "%d is out of range: %d to %d", v, minimum, maximum)
	}
}

// uniqueName checks that a name is the first of its kind in a list.
func (c *validator) uniqueName(p *fieldPath, name string, index int, seen map[string]int) {
	if first, dup := seen[name]; dup {
		other := fieldPath{parent: p.parent, index: first}
		c.report(p, "name", "%q is the name of %s too", name, other.String())
		return
	}
	seen[name] = index
}

func (c *validator) configuration(st *Configuration) {
	top := fieldPath{name: "$"}
	c.unknownFields(&top, &st.UnknownFields)
	contracts, services := c.contracts(&top, st.Contracts), c.services(&top, st.Services)
	c.routes(&top, st.Routes, contracts, services)
	p, l := fieldPath{parent: &top, name: "limits"}, &st.Limits
	c.unknownFields(&p, &l.UnknownFields)
	c.inRange(&p, "header_bytes", int64(l.MaxHeaderBytes), 0, maxHeaderBytes)
	c.inRange(&p, "body_bytes", l.MaxBodyBytes, 0, maxBodyBytes)
	if l.ReadHeaderTimeout.IsDefined() {
		c.duration(&p, "header_wait", l.ReadHeaderTimeout)
	}
	if l.IdleTimeout.IsDefined() {
		c.duration(&p, "idle", l.IdleTimeout)
	}
}

func (c *validator) contracts(top *fieldPath, list []Contract) map[string]int {
	in, seen := fieldPath{parent: top, name: "contracts"}, make(map[string]int, len(list))
	for i := range list {
		k, p := &list[i], fieldPath{parent: &in, index: i}
		c.unknownFields(&p, &k.UnknownFields)
		c.name(&p, "name", k.Name)
		c.uniqueName(&p, k.Name, i, seen)
		c.duration(&p, "aim", k.LatencyTarget)
		c.duration(&p, "expiry", k.Deadline)
		if k.LatencyTarget.Invalid == "" && k.Deadline.Invalid == "" && k.LatencyTarget.Duration > k.Deadline.Duration {
			c.report(&p, "aim", "%v is later than the expiry %v", k.LatencyTarget.Duration, k.Deadline.Duration)
		}
		if k.Priority < 1 || k.Priority > LowestPriority {
			c.report(&p, "rank", "%d is no rank: 1 (first) to %d", k.Priority, LowestPriority)
		}
	}
	return seen
}

func (c *validator) services(top *fieldPath, list []Service) map[string]int {
	in, seen := fieldPath{parent: top, name: "services"}, make(map[string]int, len(list))
	for i := range list {
		s, p := &list[i], fieldPath{parent: &in, index: i}
		c.unknownFields(&p, &s.UnknownFields)
		c.name(&p, "name", s.Name)
		c.uniqueName(&p, s.Name, i, seen)
		c.inRange(&p, "connections", int64(s.MaxConnections), 0, maxConnections)
		if s.SlowStart == nil {
			continue
		}
		cold := fieldPath{parent: &p, name: "cold"}
		c.unknownFields(&cold, &s.SlowStart.UnknownFields)
		c.duration(&cold, "for", s.SlowStart.Period)
		if s.SlowStart.RequestsPerSecond <= 0 || s.SlowStart.RequestsPerSecond > maxRequestRate {
			c.report(&cold, "rate", "%v is out of range: more than 0, at most %v", s.SlowStart.RequestsPerSecond, maxRequestRate)
		}
	}
	return seen
}

// routeMatch is what a way takes: no two may take the same.
type routeMatch struct{ host, method, prefix string }

func (c *validator) routes(top *fieldPath, list []Route, contracts, services map[string]int) {
	in, names, matches := fieldPath{parent: top, name: "ways"}, make(map[string]int, len(list)), make(map[routeMatch]int, len(list))
	for i := range list {
		route, p := &list[i], fieldPath{parent: &in, index: i}
		c.unknownFields(&p, &route.UnknownFields)
		c.name(&p, "name", route.Name)
		c.destination(&p, route, services)
		c.uniqueName(&p, route.Name, i, names)
		c.inRange(&p, "legs", int64(route.MaxAttempts), 0, MaxAttempts)
		if !strings.HasPrefix(route.Prefix, "/") {
			c.report(&p, "prefix", "%q does not start with '/'", route.Prefix)
		}
		if _, known := contracts[route.Contract]; !known {
			c.report(&p, "contract", "no contract is named %q", route.Contract)
		}
		for j, m := range route.Methods {
			if !isValidMethod(m) {
				c.report(&p, fmt.Sprintf("methods[%d]", j), "%q is no method", m)
			}
		}
		methods := route.Methods
		if len(methods) == 0 {
			methods = []string{"*"}
		}
		for _, m := range methods {
			key := routeMatch{route.Host, m, route.Prefix}
			if first, dup := matches[key]; dup {
				c.report(&p, "", "takes the same inquiries as $.ways[%d]", first)
				break
			}
			matches[key] = i
		}
	}
}

// destination checks where a way leads: to one service, or to several by weight.
func (c *validator) destination(p *fieldPath, route *Route, services map[string]int) {
	known := func(p *fieldPath, name string) {
		if _, ok := services[name]; !ok && len(services) > 0 && IsValidName(name) {
			c.report(p, "service", "no service is named %q", name)
		}
	}
	if len(route.Split) == 0 {
		c.name(p, "service", route.Service)
		known(p, route.Service)
		return
	}
	if route.Service != "" {
		c.report(p, "service", "stands beside split: a way has one of the two")
	}
	in, seen, sum := fieldPath{parent: p, name: "split"}, map[string]bool{}, 0
	for i := range route.Split {
		s, q := &route.Split[i], fieldPath{parent: &in, index: i}
		c.unknownFields(&q, &s.UnknownFields)
		c.name(&q, "service", s.Service)
		known(&q, s.Service)
		if seen[s.Service] {
			c.report(&q, "service", "%q stands in this split twice", s.Service)
		}
		seen[s.Service] = true
		c.inRange(&q, "weight", int64(s.Weight), 0, maxWeight)
		sum += max(0, min(maxWeight, s.Weight))
	}
	if sum == 0 {
		c.report(&in, "", "all weights are 0")
	}
}
