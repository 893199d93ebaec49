package config

import (
	"fmt"
	"strings"
	"time"
)

// LowestPriority is the lowest priority of a contract. The highest priority is 1.
const LowestPriority = 9

// MaxAttempts is the highest number of attempts that a route may allow for a request.
const MaxAttempts = 10

// The highest values that a configuration may have.
const (
	MaxDuration    = 10 * time.Minute // of each duration in a configuration
	MaxWeight      = 1_000_000        // of one service in a split
	MaxConnections = 1_000_000        // to one backend
	MaxRequestRate = 1e6              // requests per second
	MaxHeaderBytes = 16 << 20
	MaxBodyBytes   = 1 << 40
)

// validator collects the violations of a configuration. Each method checks one kind of field and
// reports violations at its path.
type validator struct{ violations []FieldViolation }

// add adds a violation at a path that is given as text.
func (v *validator) add(path, message string) {
	v.violations = append(v.violations, FieldViolation{Path: path, Message: message})
}

// report adds a violation of a field of the object at p. If field is empty, the violation is at p.
func (v *validator) report(p *fieldPath, field, format string, args ...any) {
	path := p.String()
	if field != "" {
		path += "." + field
	}
	v.add(path, fmt.Sprintf(format, args...))
}

func (v *validator) unknownFields(p *fieldPath, u *UnknownFields) {
	for _, name := range u.sortedNames() {
		v.report(p, name, "unknown field")
	}
}

func (v *validator) name(p *fieldPath, field, value string) {
	if !IsValidName(value) {
		v.report(p, field, "%q: must be %s", value, NameRules)
	}
}

func (v *validator) duration(p *fieldPath, field string, d Duration) {
	switch {
	case d.Invalid != "":
		v.report(p, field, "%q is no duration such as \"250ms\"", d.Invalid)
	case d.Duration <= 0 || d.Duration > MaxDuration:
		v.report(p, field, "%v is out of range: more than 0s, at most %v", d.Duration, MaxDuration)
	}
}

// optionalDuration checks a duration that may be omitted.
func (v *validator) optionalDuration(p *fieldPath, field string, d Duration) {
	if d.IsDefined() {
		v.duration(p, field, d)
	}
}

func (v *validator) inRange(p *fieldPath, field string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		v.report(p, field, "%d is out of range: %d to %d", value, minimum, maximum)
	}
}

// uniqueName checks that no earlier element of a list has the same name. seen maps the names of the
// earlier elements to their indexes.
func (v *validator) uniqueName(p *fieldPath, name string, index int, seen map[string]int) {
	if first, duplicate := seen[name]; duplicate {
		other := fieldPath{parent: p.parent, index: first}
		v.report(p, "name", "%q is the name of %s too", name, other.String())
		return
	}
	seen[name] = index
}

func (v *validator) configuration(c *Configuration) {
	top := fieldPath{name: "$"}
	v.unknownFields(&top, &c.UnknownFields)
	contracts := v.contracts(&top, c.Contracts)
	services := v.services(&top, c.Services)
	v.routes(&top, c.Routes, contracts, services)
	v.limits(&top, &c.Limits)
}

func (v *validator) limits(top *fieldPath, l *Limits) {
	p := fieldPath{parent: top, name: "limits"}
	v.unknownFields(&p, &l.UnknownFields)
	v.inRange(&p, "header_bytes", int64(l.MaxHeaderBytes), 0, MaxHeaderBytes)
	v.inRange(&p, "body_bytes", l.MaxBodyBytes, 0, MaxBodyBytes)
	v.optionalDuration(&p, "header_wait", l.ReadHeaderTimeout)
	v.optionalDuration(&p, "idle", l.IdleTimeout)
}

// contracts checks all contracts and returns a map from their names to their indexes.
func (v *validator) contracts(top *fieldPath, contracts []Contract) map[string]int {
	list, seen := fieldPath{parent: top, name: "contracts"}, make(map[string]int, len(contracts))
	for i := range contracts {
		c, p := &contracts[i], fieldPath{parent: &list, index: i}
		v.unknownFields(&p, &c.UnknownFields)
		v.name(&p, "name", c.Name)
		v.uniqueName(&p, c.Name, i, seen)
		v.latencies(&p, c)
		if c.Priority < 1 || c.Priority > LowestPriority {
			v.report(&p, "rank", "%d is no rank: 1 (first) to %d", c.Priority, LowestPriority)
		}
	}
	return seen
}

// latencies checks the latency target and the deadline of a contract.
func (v *validator) latencies(p *fieldPath, c *Contract) {
	v.duration(p, "aim", c.LatencyTarget)
	v.duration(p, "expiry", c.Deadline)
	if c.LatencyTarget.Invalid == "" && c.Deadline.Invalid == "" && c.LatencyTarget.Duration > c.Deadline.Duration {
		v.report(p, "aim", "%v is later than the expiry %v", c.LatencyTarget.Duration, c.Deadline.Duration)
	}
}

// services checks all services and returns a map from their names to their indexes.
func (v *validator) services(top *fieldPath, services []Service) map[string]int {
	list, seen := fieldPath{parent: top, name: "services"}, make(map[string]int, len(services))
	for i := range services {
		s, p := &services[i], fieldPath{parent: &list, index: i}
		v.unknownFields(&p, &s.UnknownFields)
		v.name(&p, "name", s.Name)
		v.uniqueName(&p, s.Name, i, seen)
		v.inRange(&p, "connections", int64(s.MaxConnections), 0, MaxConnections)
		if s.SlowStart != nil {
			v.slowStart(&p, s.SlowStart)
		}
	}
	return seen
}

func (v *validator) slowStart(service *fieldPath, s *SlowStart) {
	p := fieldPath{parent: service, name: "cold"}
	v.unknownFields(&p, &s.UnknownFields)
	v.duration(&p, "for", s.Period)
	if s.RequestsPerSecond <= 0 || s.RequestsPerSecond > MaxRequestRate {
		v.report(&p, "rate", "%v is out of range: more than 0, at most %v", s.RequestsPerSecond, MaxRequestRate)
	}
}

// routeMatch is the match condition of a route for one of its methods. No two routes may have the
// same condition. The method is anyMethod for a route that matches all methods.
type routeMatch struct{ host, method, prefix string }

// anyMethod stands for all methods.
const anyMethod = "*"

// matches returns the match conditions of the route, one per method.
func (r *Route) matches() (out []routeMatch) {
	if len(r.Methods) == 0 {
		return []routeMatch{{r.Host, anyMethod, r.Prefix}}
	}
	for _, method := range r.Methods {
		out = append(out, routeMatch{r.Host, method, r.Prefix})
	}
	return out
}

func (v *validator) routes(top *fieldPath, routes []Route, contracts, services map[string]int) {
	list := fieldPath{parent: top, name: "ways"}
	names, matches := make(map[string]int, len(routes)), make(map[routeMatch]int, len(routes))
	for i := range routes {
		route, p := &routes[i], fieldPath{parent: &list, index: i}
		v.unknownFields(&p, &route.UnknownFields)
		v.name(&p, "name", route.Name)
		v.destination(&p, route, services)
		v.uniqueName(&p, route.Name, i, names)
		v.inRange(&p, "legs", int64(route.MaxAttempts), 0, MaxAttempts)
		if !strings.HasPrefix(route.Prefix, "/") {
			v.report(&p, "prefix", "%q does not start with '/'", route.Prefix)
		}
		if _, known := contracts[route.Contract]; !known {
			v.report(&p, "contract", "no contract is named %q", route.Contract)
		}
		v.methods(&p, route.Methods)
		v.uniqueMatches(&p, route, i, matches)
	}
}

func (v *validator) methods(p *fieldPath, methods []string) {
	for i, method := range methods {
		if !isValidMethod(method) {
			v.report(p, fmt.Sprintf("methods[%d]", i), "%q is no method", method)
		}
	}
}

// uniqueMatches checks that no earlier route has a match condition of this route. seen maps the
// conditions of the earlier routes to their indexes.
func (v *validator) uniqueMatches(p *fieldPath, route *Route, index int, seen map[routeMatch]int) {
	for _, match := range route.matches() {
		if first, duplicate := seen[match]; duplicate {
			v.report(p, "", "takes the same inquiries as $.ways[%d]", first)
			return
		}
		seen[match] = index
	}
}

// destination checks the destination of a route: either one service, or several services by weight.
func (v *validator) destination(p *fieldPath, route *Route, services map[string]int) {
	if len(route.Split) == 0 {
		v.serviceName(p, route.Service, services)
		return
	}
	if route.Service != "" {
		v.report(p, "service", "stands beside split: a way has one of the two")
	}
	list, seen, sum := fieldPath{parent: p, name: "split"}, map[string]bool{}, 0
	for i := range route.Split {
		s, element := &route.Split[i], fieldPath{parent: &list, index: i}
		v.unknownFields(&element, &s.UnknownFields)
		v.serviceName(&element, s.Service, services)
		if seen[s.Service] {
			v.report(&element, "service", "%q stands in this split twice", s.Service)
		}
		seen[s.Service] = true
		v.inRange(&element, "weight", int64(s.Weight), 0, MaxWeight)
		sum += max(0, min(MaxWeight, s.Weight))
	}
	if sum == 0 {
		v.report(&list, "", "all weights are 0")
	}
}

// serviceName checks the name of a service that a route leads to. If the configuration lists
// services, the service must be one of them.
func (v *validator) serviceName(p *fieldPath, name string, services map[string]int) {
	if !IsValidName(name) {
		v.name(p, "service", name)
		return
	}
	if _, known := services[name]; !known && len(services) > 0 {
		v.report(p, "service", "no service is named %q", name)
	}
}
